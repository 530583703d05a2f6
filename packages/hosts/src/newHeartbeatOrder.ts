import type { Heartbeat } from './coordinationRecord.js';
import MAX_HOSTS from './maxHosts.js';

/** A host that failed to start this often is long out of the order of its first heartbeats. */
const MAX_FORMER_INCARNATIONS = 16;

type HeartbeatPosition = Pick<Heartbeat, 'host' | 'incarnation' | 'number'>;

interface NewestHeartbeat {
  incarnation: string;
  number: number;
  /** Earlier incarnations of the host. */
  formerIncarnations: Set<string>;
}

/**
 * Filters out heartbeats that are older than one already read of the same host.
 *
 * A host that cannot reach the store has a peer write its heartbeat. A slow peer may append it
 * after newer heartbeats that the host has since written itself. Applying the old one could mark a
 * recovered host as leaving, so that other hosts begin its batches, and restore older usage counts.
 */
const newHeartbeatOrder = () => {
  /** Those that beat last come last. */
  const hosts = new Map<string, NewestHeartbeat>();

  /** Forgets the host that has been silent for longest where there are too many. */
  const put = (host: string, newest: NewestHeartbeat): void => {
    hosts.delete(host);
    hosts.set(host, newest);
    const [oldest] = hosts.keys();
    if (hosts.size > MAX_HOSTS && oldest !== undefined) hosts.delete(oldest);
  };

  const isNewIncarnation = (
    { incarnation }: HeartbeatPosition,
    known: NewestHeartbeat | undefined,
  ): boolean =>
    !known || (known.incarnation !== incarnation && !known.formerIncarnations.has(incarnation));

  /** Whether a heartbeat is newer than all earlier ones of its host; if so, it is recorded. */
  const recordIfNewer = (heartbeat: HeartbeatPosition): boolean => {
    const { host, incarnation, number } = heartbeat;
    const known = hosts.get(host);
    if (isNewIncarnation(heartbeat, known)) {
      const former = [...(known?.formerIncarnations ?? []), ...(known ? [known.incarnation] : [])];
      const formerIncarnations = new Set(former.slice(-MAX_FORMER_INCARNATIONS));
      put(host, { incarnation, number, formerIncarnations });
      return true;
    }
    if (known?.incarnation !== incarnation) return false;
    if (number > 0 && number <= known.number) return false;
    put(host, { ...known, number });
    return true;
  };

  return { recordIfNewer, size: (): number => hosts.size };
};

export default newHeartbeatOrder;

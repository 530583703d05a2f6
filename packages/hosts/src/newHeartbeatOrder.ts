import type Clock from '@cyclamengate/common/Clock';
import type { Heartbeat } from './coordinationRecord.js';
import MAX_HOSTS from './maxHosts.js';

/** A host that failed to start this often is long out of the order of its first heartbeats. */
const MAX_FORMER_INCARNATIONS = 16;
/** A heartbeat is written later than this by no peer; a live host is silent for as long only if cut off. */
const MAX_SILENCE_MS = 5_000;

type HeartbeatPosition = Pick<Heartbeat, 'host' | 'incarnation' | 'number'>;

interface NewestHeartbeat {
  incarnation: string;
  number: number;
  /** On the monotonic clock. */
  readAt: number;
  /** Earlier incarnations of the host, with the numbers of their newest heartbeats. */
  formerNumbers: Map<string, number>;
}

/**
 * Filters out heartbeats that are older than one already read of the same host.
 *
 * A host that cannot reach the store has a peer write its heartbeat. A slow peer may append it
 * after newer heartbeats that the host has since written itself. Applying the old one could mark a
 * recovered host as leaving, so that other hosts begin its batches, and restore older usage counts.
 *
 * Another writer may have used the name of a host that lives. An earlier incarnation that goes on while
 * the one that followed it is silent was never replaced.
 */
const newHeartbeatOrder = (clock: Pick<Clock, 'now'>) => {
  /** Those that beat last come last. */
  const hosts = new Map<string, NewestHeartbeat>();

  /** Forgets the host that has been silent for longest where there are too many. */
  const put = (host: string, newest: Omit<NewestHeartbeat, 'readAt'>): void => {
    hosts.delete(host);
    hosts.set(host, { ...newest, readAt: clock.now() });
    const [oldest] = hosts.keys();
    if (hosts.size > MAX_HOSTS && oldest !== undefined) hosts.delete(oldest);
  };

  const listFormer = (known: NewestHeartbeat, current: string): Map<string, number> => {
    const { formerNumbers, incarnation, number } = known;
    const former = [...formerNumbers].filter(([name]) => name !== current);
    return new Map([...former, [incarnation, number] as const].slice(-MAX_FORMER_INCARNATIONS));
  };

  const mayReplace = (known: NewestHeartbeat, { incarnation, number }: HeartbeatPosition) => {
    const formerNumber = known.formerNumbers.get(incarnation);
    if (formerNumber === undefined) return true;
    return number > formerNumber && clock.now() >= known.readAt + MAX_SILENCE_MS;
  };

  /** Whether a heartbeat is newer than all earlier ones of its host; if so, it is recorded. */
  const recordIfNewer = (heartbeat: HeartbeatPosition): boolean => {
    const { host, incarnation, number } = heartbeat;
    const known = hosts.get(host);
    if (known?.incarnation === incarnation) {
      if (number > 0 && number <= known.number) return false;
      put(host, { ...known, number });
      return true;
    }
    if (known && !mayReplace(known, heartbeat)) return false;
    const formerNumbers = known ? listFormer(known, incarnation) : new Map<string, number>();
    put(host, { incarnation, number, formerNumbers });
    return true;
  };

  return { recordIfNewer, size: (): number => hosts.size };
};

export default newHeartbeatOrder;

import type { Heartbeat } from './coordinationRecord.js';

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
  const hosts = new Map<string, NewestHeartbeat>();

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
      const formerIncarnations = new Set([
        ...(known?.formerIncarnations ?? []),
        ...(known ? [known.incarnation] : []),
      ]);
      hosts.set(host, { incarnation, number, formerIncarnations });
      return true;
    }
    if (known?.incarnation !== incarnation) return false;
    if (number > 0 && number <= known.number) return false;
    known.number = number;
    return true;
  };

  return { recordIfNewer };
};

export default newHeartbeatOrder;

import type { Heartbeat } from './coordinationRecord.js';

type Place = Pick<Heartbeat, 'host' | 'incarnation' | 'number'>;

interface Known {
  incarnation: string;
  number: number;
  /** Earlier runs of the host's process. */
  former: Set<string>;
}

/**
 * Tells a host's newest heartbeat from one that comes late.
 *
 * A host that does not reach the store has another one write its heartbeat, which may be slow: it
 * stands in the log behind those that the first one has written since. Taken for news it would say
 * that a host leaves that is back, whose batches others would begin, and bring back older counts.
 */
const newHeartbeatOrder = () => {
  const hosts = new Map<string, Known>();

  const isOfNewRun = ({ incarnation }: Place, known: Known | undefined): boolean =>
    !known || (known.incarnation !== incarnation && !known.former.has(incarnation));

  /** Whether a heartbeat is newer than all of its host before; notes it then. */
  const isNews = (heartbeat: Place): boolean => {
    const { host, incarnation, number } = heartbeat;
    const known = hosts.get(host);
    if (isOfNewRun(heartbeat, known)) {
      const former = new Set([...(known?.former ?? []), ...(known ? [known.incarnation] : [])]);
      hosts.set(host, { incarnation, number, former });
      return true;
    }
    if (known?.incarnation !== incarnation) return false;
    if (number > 0 && number <= known.number) return false;
    known.number = number;
    return true;
  };

  return { isNews };
};

export default newHeartbeatOrder;

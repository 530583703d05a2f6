import type Clock from '@cyclamengate/common/Clock';
import type { Heartbeat } from './coordinationRecord.js';

export interface Member {
  host: string;
  incarnation: string;
  failureDomain: string;
  address: string;
  running: Record<string, number>;
}

interface Sighting {
  heartbeat: Heartbeat;
  deadline: number;
}

/** Outages of the store last up to nine seconds; hosts that died meanwhile cost a call each. */
const REMEMBERED_MS = 12_000;

/** Which hosts are there, by the heartbeats that they wrote. */
const newMembers = (clock: Clock, readLifeMs: () => number) => {
  const sightings = new Map<string, Sighting>();

  const apply = (heartbeat: Heartbeat): void => {
    sightings.set(heartbeat.host, { heartbeat, deadline: clock.now() + readLifeMs() });
  };

  const isLive = ({ heartbeat, deadline }: Sighting): boolean =>
    !heartbeat.isLeaving && clock.now() < deadline;

  return {
    apply,
    /** Hosts that take work, in the order of their names. */
    live: (): Member[] =>
      [...sightings.values()]
        .filter(isLive)
        .map(({ heartbeat }) => heartbeat)
        .sort((left, right) => (left.host < right.host ? -1 : 1)),
    /** The newest word of each host of late, also from before an outage of the store. */
    lately: (): Member[] =>
      [...sightings.values()]
        .filter(({ deadline }) => clock.now() < deadline + REMEMBERED_MS)
        .map(({ heartbeat }) => heartbeat)
        .filter(({ isLeaving }) => !isLeaving),
    /** Whether that run of a host's process said that it leaves, or was followed by another. */
    hasLeft: (host: string, incarnation: string): boolean => {
      const heartbeat = sightings.get(host)?.heartbeat;
      return (
        heartbeat !== undefined && (heartbeat.isLeaving || heartbeat.incarnation !== incarnation)
      );
    },
    /** Hosts that were heard of lately, also those that leave. */
    heard: (): Heartbeat[] =>
      [...sightings.values()]
        .filter(({ deadline }) => clock.now() < deadline)
        .map(({ heartbeat }) => heartbeat),
  };
};

export type Members = ReturnType<typeof newMembers>;

export default newMembers;

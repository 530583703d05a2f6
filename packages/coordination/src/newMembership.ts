import type Clock from '@cyclamengate/common/Clock';
import type { Member } from './member.js';

/** A member is taken for dead when its heartbeat has stood still for this long … */
const SHORTEST_SILENCE_MS = 5_000;
/** … plus this for each member, since an exchange carries only some of them. */
const SILENCE_PER_MEMBER_MS = 120;
/** Members told of in one exchange, besides the teller. */
const MEMBERS_TOLD = 16;
/** A dead member's last word is kept this long, so that a late relay of it does not revive it. */
const DEAD_KEPT_MS = 120_000;

interface Sighting {
  member: Member;
  /** When its heartbeat was last seen to grow, on this host's monotonic clock. */
  seenAt: number;
}

/**
 * Who is there, from heartbeats that are passed on from peer to peer. Nothing is agreed here: it
 * serves to find peers, to spread work and to say which hosts a change has reached.
 */
const newMembership = (clock: Clock, readSelf: () => Member, random: () => number) => {
  const sightings = new Map<string, Sighting>();

  const silenceMs = (): number => SHORTEST_SILENCE_MS + SILENCE_PER_MEMBER_MS * sightings.size;

  const isLive = ({ seenAt }: Sighting): boolean => clock.now() < seenAt + silenceMs();

  const isNews = (told: Member): boolean => {
    const known = sightings.get(told.id)?.member;
    return !known || told.heartbeat > known.heartbeat;
  };

  const learn = (told: readonly Member[]): void => {
    const self = readSelf();
    told
      .filter((member) => member.id !== self.id && isNews(member))
      .forEach((member) => sightings.set(member.id, { member, seenAt: clock.now() }));
    sightings.forEach(({ seenAt }, id) => {
      if (seenAt + DEAD_KEPT_MS < clock.now()) sightings.delete(id);
    });
  };

  const others = (): Member[] => [...sightings.values()].filter(isLive).map(({ member }) => member);

  const pick = (members: Member[], count: number): Member[] => {
    if (members.length <= count) return members;
    const left = [...members];
    return Array.from({ length: count }, () => {
      const [picked] = left.splice(Math.floor(random() * left.length), 1);
      return picked as Member;
    });
  };

  return {
    learn,
    /** Live members other than this one. */
    others,
    /** Live members, this one included. */
    live: (): Member[] => [readSelf(), ...others()],
    /** Members whose heartbeat has stopped, but not long ago. */
    silent: (): Member[] =>
      [...sightings.values()].filter((sighting) => !isLive(sighting)).map(({ member }) => member),
    /** What to tell a peer. */
    tell: (): Member[] => [readSelf(), ...pick(others(), MEMBERS_TOLD)],
    highestOffset: (): number => Math.max(-1, ...others().map(({ offset }) => offset)),
  };
};

export type Membership = ReturnType<typeof newMembership>;

export default newMembership;

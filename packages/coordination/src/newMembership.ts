import type Clock from '@cyclamengate/common/Clock';
import type { Member } from './member.js';

/** A member is considered dead if its heartbeat has not advanced for this long … */
const BASE_HEARTBEAT_TIMEOUT_MS = 5_000;
/** … plus this time per known member, since an exchange contains only some of the members. */
const HEARTBEAT_TIMEOUT_PER_MEMBER_MS = 120;
/** Number of members in one exchange, in addition to the sender. */
const MAX_MEMBERS_PER_EXCHANGE = 16;
/** How long a dead member's last heartbeat is kept, so that a late copy does not revive it. */
const DEAD_MEMBER_RETENTION_MS = 120_000;

interface KnownMember {
  member: Member;
  /** When an advance of its heartbeat was last received, on this host's monotonic clock. */
  heartbeatAdvancedAt: number;
}

/**
 * Tracks the live members by heartbeats that spread from peer to peer. Hosts may have different
 * views of the membership: it only serves to find peers, to spread work and to report which hosts
 * have applied a change.
 */
const newMembership = (clock: Clock, readSelf: () => Member, random: () => number) => {
  const knownMembers = new Map<string, KnownMember>();

  const heartbeatTimeoutMs = (): number =>
    BASE_HEARTBEAT_TIMEOUT_MS + HEARTBEAT_TIMEOUT_PER_MEMBER_MS * knownMembers.size;

  const isLive = ({ heartbeatAdvancedAt }: KnownMember): boolean =>
    clock.now() < heartbeatAdvancedAt + heartbeatTimeoutMs();

  const hasNewerHeartbeat = (received: Member): boolean => {
    const known = knownMembers.get(received.id)?.member;
    return !known || received.heartbeat > known.heartbeat;
  };

  const merge = (received: readonly Member[]): void => {
    const self = readSelf();
    received
      .filter((member) => member.id !== self.id && hasNewerHeartbeat(member))
      .forEach((member) =>
        knownMembers.set(member.id, { member, heartbeatAdvancedAt: clock.now() }),
      );
    knownMembers.forEach(({ heartbeatAdvancedAt }, id) => {
      if (heartbeatAdvancedAt + DEAD_MEMBER_RETENTION_MS < clock.now()) knownMembers.delete(id);
    });
  };

  const others = (): Member[] =>
    [...knownMembers.values()].filter(isLive).map(({ member }) => member);

  const pickRandom = (members: Member[], count: number): Member[] => {
    if (members.length <= count) return members;
    const remaining = [...members];
    return Array.from({ length: count }, () => {
      const [picked] = remaining.splice(Math.floor(random() * remaining.length), 1);
      return picked as Member;
    });
  };

  return {
    merge,
    /** Live members other than this one. */
    others,
    /** Live members, this one included. */
    live: (): Member[] => [readSelf(), ...others()],
    /** Members whose heartbeat has stopped and is still retained. */
    unresponsive: (): Member[] =>
      [...knownMembers.values()]
        .filter((knownMember) => !isLive(knownMember))
        .map(({ member }) => member),
    /** This member and a random selection of others, to be sent to a peer. */
    membersToSend: (): Member[] => [readSelf(), ...pickRandom(others(), MAX_MEMBERS_PER_EXCHANGE)],
    highestOffset: (): number => Math.max(-1, ...others().map(({ offset }) => offset)),
  };
};

export type Membership = ReturnType<typeof newMembership>;

export default newMembership;

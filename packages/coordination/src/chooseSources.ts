import rendezvousRank from '@cyclamengate/common/rendezvousRank';
import type { Member } from './member.js';

/** Members of a failure domain that read the log itself. */
const ROOTS_PER_DOMAIN = 2;
/** Members that read from one relaying member. */
const READERS_PER_RELAY = 8;

/** A place to read from: a member, or null for the log itself. */
export type SourceChoice = Member | null;

const parentRank = (rank: number): number =>
  rank < ROOTS_PER_DOMAIN + READERS_PER_RELAY * ROOTS_PER_DOMAIN
    ? rank % ROOTS_PER_DOMAIN
    : Math.floor((rank - ROOTS_PER_DOMAIN) / READERS_PER_RELAY);

/**
 * Where a host reads records, first choice first.
 *
 * Hundreds of hosts that each ask the log would be more load than all of its appends. So in each
 * failure domain two members read the log and the others form a shallow tree behind them; every
 * host works the tree out alone from the members it knows. Differing views cost only a longer way.
 * Behind the tree's place come the log itself and then all other peers, furthest ahead first, so a
 * domain that is cut off from the platform still gets the log's records from whoever has them.
 */
const chooseSources = (self: Member, others: readonly Member[]): SourceChoice[] => {
  const neighbours = others.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const byId = new Map([self, ...neighbours].map((member) => [member.id, member]));
  const order = rendezvousRank(`relay ${self.failureDomain}`, [...byId.keys()]);
  const rank = order.indexOf(self.id);
  const ahead = [...others].sort((left, right) => right.offset - left.offset);
  if (rank < ROOTS_PER_DOMAIN) return [null, ...ahead];
  const parent = byId.get(order[parentRank(rank)] ?? '') ?? null;
  return [parent, null, ...ahead.filter((member) => member !== parent)];
};

export default chooseSources;

import rendezvousRank from '@cyclamengate/common/rendezvousRank';
import type { Member } from './member.js';

/** Number of members of a failure domain that read from the log itself. */
const ROOTS_PER_DOMAIN = 2;
/** Number of members that read from one relay. */
const READERS_PER_RELAY = 8;

/** A source to read from: a member, or null for the log itself. */
export type SourceChoice = Member | null;

const parentRank = (rank: number): number =>
  rank < ROOTS_PER_DOMAIN + READERS_PER_RELAY * ROOTS_PER_DOMAIN
    ? rank % ROOTS_PER_DOMAIN
    : Math.floor((rank - ROOTS_PER_DOMAIN) / READERS_PER_RELAY);

/**
 * Chooses the sources from which a host reads records, in order of preference.
 *
 * If hundreds of hosts each read from the log, their load would exceed that of all appends. So in
 * each failure domain two members read from the log and the others form a shallow tree below them.
 * Every host computes the tree from the members that it knows; different views only lengthen the
 * path. After its parent in the tree a host falls back to the log itself, and then to all other
 * peers by descending offset, so a domain that is partitioned from the platform can still get the
 * records.
 */
const chooseSources = (self: Member, others: readonly Member[]): SourceChoice[] => {
  const neighbours = others.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const byId = new Map([self, ...neighbours].map((member) => [member.id, member]));
  const order = rendezvousRank(`relay ${self.failureDomain}`, [...byId.keys()]);
  const rank = order.indexOf(self.id);
  const byOffset = [...others].sort((left, right) => right.offset - left.offset);
  if (rank < ROOTS_PER_DOMAIN) return [null, ...byOffset];
  const parent = byId.get(order[parentRank(rank)] ?? '') ?? null;
  return [parent, null, ...byOffset.filter((member) => member !== parent)];
};

export default chooseSources;

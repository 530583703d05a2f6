import digest from './digest.js';

/** The weight of a member for a subject; every process computes the same. */
export const computeWeight = (subject: string, member: string): string =>
  digest(`${subject}\n${member}`);

/**
 * Orders members for a subject by rendezvous hashing (highest random weight). Processes that know
 * the same members compute the same order without coordination, and the loss of a member moves only
 * the subjects it ranked first for.
 */
const rendezvousRank = (
  subject: string,
  members: readonly string[],
  findWeight = computeWeight,
): string[] =>
  members
    .map((member) => ({ member, weight: findWeight(subject, member) }))
    .sort((left, right) => (left.weight < right.weight ? 1 : -1))
    .map(({ member }) => member);

export default rendezvousRank;

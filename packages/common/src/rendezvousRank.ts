import digest from './digest.js';

/**
 * Orders members for a subject by rendezvous hashing (highest random weight). Processes that know
 * the same members compute the same order without coordination, and the loss of a member moves only
 * the subjects it ranked first for.
 */
const rendezvousRank = (subject: string, members: readonly string[]): string[] =>
  members
    .map((member) => ({ member, weight: digest(`${subject}\n${member}`) }))
    .sort((left, right) => (left.weight < right.weight ? 1 : -1))
    .map(({ member }) => member);

export default rendezvousRank;

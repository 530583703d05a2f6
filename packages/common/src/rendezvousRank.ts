import digest from './digest.js';

/**
 * Orders members for a subject by highest random weight: every process that knows the same members
 * gets the same order without asking anyone, and a lost member moves only its own subjects.
 */
const rendezvousRank = (subject: string, members: readonly string[]): string[] =>
  members
    .map((member) => ({ member, weight: digest(`${subject}\n${member}`) }))
    .sort((left, right) => (left.weight < right.weight ? 1 : -1))
    .map(({ member }) => member);

export default rendezvousRank;

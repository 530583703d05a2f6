/**
 * This host's part of something that all hosts share, in proportion to demand. Every host counts
 * one more than it has, so that an idle one keeps a start and the parts add up to the whole.
 */
const proportionalPart = (total: number, own: number, others: readonly number[]): number => {
  const all = others.reduce((sum, demand) => sum + demand + 1, own + 1);
  return Math.max(1, Math.ceil((total * (own + 1)) / all));
};

export default proportionalPart;

/**
 * This host's share of a total that is divided among all hosts in proportion to demand. One is
 * added to each host's demand, so that an idle host keeps a share and the shares add up to the
 * total.
 */
const proportionalShare = (total: number, own: number, others: readonly number[]): number => {
  const totalDemand = others.reduce((sum, demand) => sum + demand + 1, own + 1);
  return Math.max(1, Math.ceil((total * (own + 1)) / totalDemand));
};

export default proportionalShare;

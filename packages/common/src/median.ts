/** The median, or the lower of the two middle values; null if there are no values. */
const median = (values: number[]): number | null => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? null;
};

export default median;

/** Counts by name; a name whose count is zero is forgotten. */
const newCounts = () => {
  const counts = new Map<string, number>();
  let total = 0;
  const get = (name: string): number => counts.get(name) ?? 0;
  return {
    get,
    adjust: (name: string, change: number): void => {
      const count = get(name) + change;
      total += change;
      if (count === 0) counts.delete(name);
      else counts.set(name, count);
    },
    total: (): number => total,
    entries: (): [string, number][] => [...counts],
  };
};

export default newCounts;

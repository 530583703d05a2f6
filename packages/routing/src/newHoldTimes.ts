/** Weight of a new observation in the moving average of the time a request holds its place. */
const SMOOTHING = 0.1;
const MIN_HOLD_TIME_MS = 1;

/** Averages of the time that requests hold their places, by kind of work. */
const newHoldTimes = (initialMs: number) => {
  const averages = new Map<string, number>();
  const get = (kind: string): number => averages.get(kind) ?? initialMs;
  return {
    get,
    observe: (kind: string, heldMs: number): void => {
      const average = get(kind);
      averages.set(kind, average + (Math.max(MIN_HOLD_TIME_MS, heldMs) - average) * SMOOTHING);
    },
  };
};

export default newHoldTimes;

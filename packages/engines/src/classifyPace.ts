/** Speed of an engine relative to its peers, in steps that small changes do not cross. */
export type PaceClass = 'fast' | 'usual' | 'slow';

/** A pace below this is fast. */
const FAST_PACE = 0.7;
/** A pace above this is slow. */
const SLOW_PACE = 1.4;

/** From the fastest to the slowest. */
export const PACE_CLASSES: readonly PaceClass[] = ['fast', 'usual', 'slow'];

/** Pace that stands for all engines of a class, so that capacities do not follow small changes. */
export const NOMINAL_PACES: Readonly<Record<PaceClass, number>> = {
  fast: 0.5,
  usual: 1,
  slow: 1.6,
};

/** @param pace time that work takes relative to the engine's peers; below 1 is faster */
const classifyPace = (pace: number): PaceClass => {
  if (pace < FAST_PACE) return 'fast';
  return pace > SLOW_PACE ? 'slow' : 'usual';
};

export default classifyPace;

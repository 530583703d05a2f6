/** Before the first step of a model is seen, its engines are kept at the newest version. */
const DEFAULT_ALLOWED_LAG_VERSIONS = 0;

/**
 * Tracks how many versions an engine may be behind and still serve a model's steps. The lag is
 * taken from the model's newest step, since each trainer sets its own bound on the age of samples.
 */
const newAllowedLags = () => {
  const lags = new Map<string, number>();

  return {
    /** @param newest the newest announced version when the step arrived */
    set: (model: string, newest: number, leastVersion: number): void => {
      lags.set(model, Math.max(0, newest - leastVersion));
    },
    get: (model: string): number => lags.get(model) ?? DEFAULT_ALLOWED_LAG_VERSIONS,
  };
};

export type AllowedLags = ReturnType<typeof newAllowedLags>;

export default newAllowedLags;

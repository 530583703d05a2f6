/** Retries that each first attempt earns. */
const RETRIES_PER_REQUEST = 0.1;
const MOST_SAVED = 20;
const AT_START = 5;

/**
 * A budget for retries. Upstreams that fail under load get every request again from every host, and
 * that makes the load worse. Each host may retry a tenth of what it was asked, so all hosts together
 * send at most a tenth more than without retries, however many they are.
 */
const newRetryBudget = () => {
  let saved = AT_START;
  return {
    earn: (): void => {
      saved = Math.min(MOST_SAVED, saved + RETRIES_PER_REQUEST);
    },
    /** @returns whether a retry may be made */
    spend: (): boolean => {
      if (saved < 1) return false;
      saved -= 1;
      return true;
    },
  };
};

export type RetryBudget = ReturnType<typeof newRetryBudget>;

export default newRetryBudget;

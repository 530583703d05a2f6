/** Retries earned per first attempt. */
const RETRIES_PER_REQUEST = 0.1;
const MAX_SAVED_RETRIES = 20;
const INITIAL_RETRIES = 5;

/**
 * A budget for retries. If every host retried every request at upstreams that fail under load, the
 * load would grow further. Each host may retry a tenth of its requests, so retries add at most a
 * tenth to the total load, regardless of the number of hosts.
 */
const newRetryBudget = () => {
  let available = INITIAL_RETRIES;
  return {
    earn: (): void => {
      available = Math.min(MAX_SAVED_RETRIES, available + RETRIES_PER_REQUEST);
    },
    /** @returns whether a retry is allowed */
    spend: (): boolean => {
      if (available < 1) return false;
      available -= 1;
      return true;
    },
  };
};

export type RetryBudget = ReturnType<typeof newRetryBudget>;

export default newRetryBudget;

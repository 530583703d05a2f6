import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';

/** An admitted request that is queued or running. */
export interface OpenRequest {
  customer: string;
  keyDigest: string;
  /** Aborted when the caller disconnects, or with `KEY_WITHDRAWN` when its key is withdrawn. */
  controller: AbortController;
}

/** Reason of the abort of an open request whose key was withdrawn. */
export const KEY_WITHDRAWN = 'key-withdrawn';

/** Tracks the queued and running requests of this host. */
const newOpenRequests = () => {
  const openRequests = new Set<OpenRequest>();
  const runningCountByCustomer = new Map<string, number>();
  const emptyWaiters = new Set<() => void>();

  const changeRunningCount = (customer: string, change: number): void => {
    const count = (runningCountByCustomer.get(customer) ?? 0) + change;
    if (count === 0) runningCountByCustomer.delete(customer);
    else runningCountByCustomer.set(customer, count);
  };

  return {
    begin: (request: OpenRequest): void => {
      openRequests.add(request);
    },
    end: (request: OpenRequest): void => {
      openRequests.delete(request);
      if (openRequests.size > 0) return;
      emptyWaiters.forEach((resolve) => resolve());
      emptyWaiters.clear();
    },
    /** Counts a request against its customer's limit until `endRunning`. */
    startRunning: ({ customer }: OpenRequest): void => changeRunningCount(customer, 1),
    endRunning: ({ customer }: OpenRequest): void => changeRunningCount(customer, -1),
    runningCount: (customer: string): number => runningCountByCustomer.get(customer) ?? 0,
    runningCounts: (): Record<string, number> => Object.fromEntries(runningCountByCustomer),
    /**
     * Aborts every open request whose key is no longer valid, which also cancels its work at the
     * upstream. Called whenever settings change, since a request can last long after its key was
     * checked.
     */
    checkKeys: ({ keysByDigest }: EffectiveSettings): void =>
      openRequests.forEach(({ keyDigest, controller }) => {
        if (!keysByDigest.has(keyDigest)) controller.abort(KEY_WITHDRAWN);
      }),
    size: (): number => openRequests.size,
    /** Resolves when no request is open. */
    whenEmpty: (): Promise<void> =>
      openRequests.size === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            emptyWaiters.add(resolve);
          }),
  };
};

export type OpenRequests = ReturnType<typeof newOpenRequests>;

export default newOpenRequests;

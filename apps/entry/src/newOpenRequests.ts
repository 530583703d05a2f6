import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';

/** A request that is being served. */
export interface OpenRequest {
  customer: string;
  keyDigest: string;
  /** Aborted when the caller goes away, or with a reason when its key is withdrawn. */
  controller: AbortController;
}

/** Why an open request is ended by this side. */
export const KEY_WITHDRAWN = 'key-withdrawn';

/** All requests being served on this host. */
const newOpenRequests = () => {
  const open = new Set<OpenRequest>();
  const running = new Map<string, number>();
  const emptied = new Set<() => void>();

  const countRunning = (customer: string, change: number): void => {
    const count = (running.get(customer) ?? 0) + change;
    if (count === 0) running.delete(customer);
    else running.set(customer, count);
  };

  return {
    begin: (request: OpenRequest): void => {
      open.add(request);
    },
    end: (request: OpenRequest): void => {
      open.delete(request);
      if (open.size > 0) return;
      emptied.forEach((resolve) => resolve());
      emptied.clear();
    },
    /** Its turn has come; it counts against its customer's limit until it is over. */
    startRunning: ({ customer }: OpenRequest): void => countRunning(customer, 1),
    endRunning: ({ customer }: OpenRequest): void => countRunning(customer, -1),
    runningOf: (customer: string): number => running.get(customer) ?? 0,
    runningByCustomer: (): Record<string, number> => Object.fromEntries(running),
    /**
     * A caller may stay connected long after its key was checked. Whenever settings change, every
     * open request is checked again, and one whose key is gone is ended with its upstream's work.
     */
    checkKeys: ({ keysByDigest }: EffectiveSettings): void =>
      open.forEach(({ keyDigest, controller }) => {
        if (!keysByDigest.has(keyDigest)) controller.abort(KEY_WITHDRAWN);
      }),
    size: (): number => open.size,
    whenEmpty: (): Promise<void> =>
      open.size === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            emptied.add(resolve);
          }),
  };
};

export type OpenRequests = ReturnType<typeof newOpenRequests>;

export default newOpenRequests;

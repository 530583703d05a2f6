import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';

/** A request that is being served. */
export interface OpenRequest {
  customer: string;
  keyDigest: string;
  /** Aborted when the caller goes away, or with a reason when its key is withdrawn. */
  controller: AbortController;
  isRunning: boolean;
}

/** Why an open request is ended by this side. */
export const KEY_WITHDRAWN = 'key-withdrawn';

/** All requests being served on this host. */
const newOpenRequests = () => {
  const open = new Set<OpenRequest>();
  const emptied = new Set<() => void>();

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
    runningOf: (customer: string): number =>
      [...open].filter((request) => request.isRunning && request.customer === customer).length,
    runningByCustomer: (): Record<string, number> => {
      const running: Record<string, number> = {};
      open.forEach(({ customer, isRunning }) => {
        if (isRunning) running[customer] = (running[customer] ?? 0) + 1;
      });
      return running;
    },
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

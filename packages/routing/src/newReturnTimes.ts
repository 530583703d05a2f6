import type Clock from '@cyclamengate/common/Clock';

/** Bounds on the delay after which a refused caller is told to retry. */
export interface ReturnDelays {
  minMs: number;
  maxMs: number;
}

/**
 * Assigns times at which refused callers return.
 *
 * Callers that are refused together and told the same delay return together, and most of them are
 * refused again. Each is therefore told a later time than the one refused before it, apart by the
 * time in which a place becomes free for its customer.
 */
const newReturnTimes = (clock: Clock, { minMs, maxMs }: ReturnDelays, random = Math.random) => {
  const lastByCustomer = new Map<string, number>();

  const removePast = (): void =>
    lastByCustomer.forEach((at, customer) => {
      if (at <= clock.now()) lastByCustomer.delete(customer);
    });

  /**
   * @param waitMs expected wait of the refused request
   * @param intervalMs time in which one place becomes free for the customer
   */
  return (customer: string, waitMs: number, intervalMs: number): number => {
    removePast();
    const earliest = clock.now() + Math.max(minMs, waitMs);
    const last = lastByCustomer.get(customer) ?? -Infinity;
    // Other hosts refuse at the same moment; equal steps would let their callers return together.
    const next = Math.max(earliest, last + intervalMs * (0.5 + random()));
    const returnAt = Math.min(next, clock.now() + maxMs);
    lastByCustomer.set(customer, returnAt);
    return returnAt;
  };
};

export default newReturnTimes;

import type { Priority } from '@cyclamengate/upstreams/generation';

/**
 * Relative shares of service that classes of work get while requests of each are queued; ties are
 * resolved in this order.
 */
export type ClassShares = Readonly<Record<string, number>>;

/** Shares of the priorities of generations. */
export const PRIORITY_SHARES: Readonly<Record<Priority, number>> = {
  interactive: 16,
  background: 2,
  training: 4,
};

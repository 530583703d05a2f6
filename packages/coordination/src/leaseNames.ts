/** The holder of this lease closes and reports usage windows. */
export const REPORTS_LEASE = 'reports';

/** The holder of this lease writes checkpoints. */
export const CHECKPOINT_LEASE = 'checkpoint';

/** The holder of this lease orders the upstreams of a failure domain and loads their weights. */
export const ordersLease = (failureDomain: string): string => `orders-${failureDomain}`;

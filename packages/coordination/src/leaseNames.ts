/** The lease under which usage windows are closed and reported. */
export const REPORTS_LEASE = 'reports';

/** The lease under which checkpoints are written. */
export const CHECKPOINT_LEASE = 'checkpoint';

/** The lease under which the upstreams of one failure domain are ordered and loaded with weights. */
export const ordersLease = (failureDomain: string): string => `orders-${failureDomain}`;

/**
 * Why an upstream gave no whole answer.
 * - `not-sent`: no connection came about; nothing ran
 * - `refused`: it answered that it did not run the request
 * - `broken`: the connection ended in the middle; what ran is unknown
 * - `silent`: nothing came for too long; what ran is unknown
 * - `malformed`: the answer was short, crossed with another one or unreadable
 * - `cancelled`: this side gave it up
 */
export type UpstreamFault =
  'not-sent' | 'refused' | 'broken' | 'silent' | 'malformed' | 'cancelled';

/** Whether it is known that the upstream ran nothing. */
export const isNotRun = (fault: UpstreamFault): boolean =>
  fault === 'not-sent' || fault === 'refused';

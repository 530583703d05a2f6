/**
 * Why an upstream gave no complete answer.
 * - `not-sent`: no connection could be opened; nothing ran
 * - `refused`: it answered that it did not run the request
 * - `broken`: the connection failed or was closed before the answer ended; whether the request
 *   ran is unknown
 * - `silent`: the upstream did not respond in time; whether the request ran is unknown
 * - `malformed`: the answer lacked tokens, belonged to another request or could not be parsed
 * - `cancelled`: this host cancelled the request
 */
export type UpstreamFault =
  'not-sent' | 'refused' | 'broken' | 'silent' | 'malformed' | 'cancelled';

/** Whether the upstream certainly did not run the request. */
export const isNotRun = (fault: UpstreamFault): boolean =>
  fault === 'not-sent' || fault === 'refused';

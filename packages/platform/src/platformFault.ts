/**
 * Why a call to the platform gave no answer to rely on.
 * - `not-sent`: no connection came about, so it had no effect
 * - `unknown`: it may have had its effect; the answer is lost, late or unreadable
 * - `refused`: the platform answered that it will not
 */
export type PlatformFault = 'not-sent' | 'unknown' | 'refused';

/**
 * Why a call to the platform gave no usable answer.
 * - `not-sent`: no connection could be opened, or the body of an order was never written; the call had
 *   no effect
 * - `unknown`: the call may have taken effect; the answer is lost, late or could not be parsed
 * - `refused`: the platform refused the call
 */
export type PlatformFault = 'not-sent' | 'unknown' | 'refused';

/** Why a call to the store brought nothing. */
export type StoreFault =
  /** The store said, or the connection shows, that nothing was done. */
  | { type: 'not-done'; reason: string }
  /** No answer: it may have been done, or may still be done seconds later. */
  | { type: 'unknown'; reason: string }
  /** Another append of this producer is expected next. */
  | { type: 'sequence'; expected: number }
  /** A newer epoch of this producer has written. */
  | { type: 'fenced' }
  /** The records asked for are no longer kept; the oldest kept one is named. */
  | { type: 'expired'; first: number };

/** Why a call to the store failed. */
export type StoreFault =
  /** The store refused the call or could not be reached; the call was not executed. */
  | { type: 'not-done'; reason: string }
  /** The store refuses the call for good, whatever it is asked again: it was not executed. */
  | { type: 'rejected'; reason: string }
  /** Unanswered: the call may have been executed, or may still be executed seconds later. */
  | { type: 'unknown'; reason: string }
  /** The sequence number is not the one that the store expects next of this producer. */
  | { type: 'sequence'; expected: number }
  /** A newer epoch of this producer has appended records. */
  | { type: 'fenced' }
  /** The requested records are no longer retained; `first` is the oldest retained offset. */
  | { type: 'expired'; first: number };

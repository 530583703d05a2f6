import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import type { HeldAnswer } from './newPlainAttempt.js';
import type { Refusal } from './refusal.js';

/** What came of a relayed request; `upstreams` counts those that it was sent to. */
export type RelayOutcome =
  | {
      type: 'answer';
      answer: HeldAnswer;
      upstream: string;
      /** Pace of the upstream when it was chosen. */
      pace: number;
      upstreams: number;
    }
  /** `hasRun` is true if the request may have run at an upstream. */
  | { type: 'refusal'; refusal: Refusal; hasRun: boolean; upstreams: number };

/** @param upstreams number of upstreams that the request was sent to */
export const answered = (
  answer: HeldAnswer,
  { entry, pace }: Candidate,
  upstreams: number,
): RelayOutcome => ({ type: 'answer', answer, upstream: entry.id, pace, upstreams });

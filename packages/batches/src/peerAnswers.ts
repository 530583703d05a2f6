import listOf from '@cyclamengate/common/listOf';
import { evacuationSchema } from '@cyclamengate/engines/newEvacuations';
import { upstreamCrashSchema } from '@cyclamengate/engines/upstreamCrash';
import { z } from 'zod';
import type { ZodType } from 'zod';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import { MAX_EXCHANGED_CRASHES } from './peerRouter.js';
import type { BeginOutcome, StoreReachability } from './peerRouter.js';

/** Longer than any request is held, in milliseconds. */
const MAX_TRIAL_WAIT_MS = 900_000;
const MAX_FAILURE_DOMAINS = 1_024;

/** What a peer may answer. Another version or a faulty host may answer anything. */
export const beginAnswer: ZodType<BeginOutcome> = z.enum(['begun', 'kept', 'leaving']);
export const writeAnswer: ZodType<WriteOutcome> = z.enum(['written', 'not-written', 'unknown']);
export const reachabilityAnswer: ZodType<StoreReachability> = z.enum(['none', 'new', 'steady']);
export const booleanAnswer = z.boolean();
/** The answer of a procedure without a result. */
export const emptyAnswer = z.void();
export const trialAnswer = z.number().min(0).max(MAX_TRIAL_WAIT_MS);
export const settingsAnswer = z.string().nullable();
export const crashesAnswer = listOf(upstreamCrashSchema, MAX_EXCHANGED_CRASHES);
export const evacuationsAnswer = listOf(evacuationSchema, MAX_FAILURE_DOMAINS);

import type Clock from '@cyclamengate/common/Clock';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import isFresh from '@cyclamengate/coordination/isFresh';
import type { Follower } from '@cyclamengate/coordination/newFollower';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import type { BoundSample, StepState } from '@cyclamengate/coordination/trainerState';
import type { TrainerSettings } from '@cyclamengate/settings/trainerSettings';
import type { PayloadCopies } from './newPayloadCopies.js';

const WRITE_TIMEOUT_MS = 5_000;
const PAGE_SAMPLES = 64;

interface Collected {
  digest: string;
  payload: string;
}

export interface SamplePage {
  /** Payloads in the order of their positions, the first one at the cursor. */
  payloads: string[];
  /** The cursor to read on with; giving it acknowledges everything before it. */
  next: number;
  /** Whether nothing of the step is left to read. */
  isComplete: boolean;
}

/**
 * Why nothing could be read.
 * - `unknown-step`: the step was never opened or is long over
 * - `not-fixed`: the log did not confirm the positions, or a holder does not answer; try again
 * - `lost`: a sample that may have been read already has lost all its copies
 */
export type ReadFault = 'unknown-step' | 'not-fixed' | 'lost';

export interface ReadOptions {
  clock: Clock;
  metrics: Metrics;
  follower: Follower;
  writer: LogWriter;
  copies: PayloadCopies;
}

/** Reads samples for a trainer, each exactly once by cursor. */
const newSampleReader = ({ clock, metrics, follower, writer, copies }: ReadOptions) => {
  const stepOf = (trainer: string, step: number): StepState | undefined =>
    follower.state().trainers[trainer]?.steps[step];

  const sampleAt = (step: StepState, position: number): BoundSample | null =>
    step.slots[step.delivery[position] ?? -1]?.sample ?? null;

  const release = async (
    trainer: string,
    step: number,
    slot: number,
    reason: 'stale' | 'lost',
  ): Promise<void> => {
    const attempt = stepOf(trainer, step)?.slots[slot]?.attempt;
    if (attempt === undefined) return;
    metrics.count(`samples_released_${reason}`);
    await writer.write(
      { type: 'slot-released', trainer, step, slot, attempt, reason },
      clock.now() + WRITE_TIMEOUT_MS,
    );
  };

  const isLost = async ({ digest, holders }: BoundSample): Promise<boolean> => {
    const payload = await copies.read(digest, holders);
    return !payload.ok && payload.val === 'missing';
  };

  /** Frees the slots, not offered yet, whose samples aged out or are held by nobody any more. */
  const releaseUnfit = async (trainer: TrainerSettings, step: number): Promise<void> => {
    const state = stepOf(trainer.id, step);
    const newest = follower.state().trainers[trainer.id]?.version ?? 0;
    const waiting = state?.delivery.slice(state.offered) ?? [];
    for (const slot of waiting) {
      const sample = state?.slots[slot]?.sample;
      const isStale = sample && !isFresh(sample.segments, newest, trainer.stalenessBoundVersions);
      if (isStale) await release(trainer.id, step, slot, 'stale');
      else if (sample && (await isLost(sample))) await release(trainer.id, step, slot, 'lost');
    }
  };

  /** Fixes the positions up to `through` in the log, before anything of them leaves. */
  const offer = async (trainer: string, step: number, through: number): Promise<boolean> => {
    const state = stepOf(trainer, step);
    if (!state || through <= state.offered) return state !== undefined;
    const digests = Array.from(
      { length: through - state.offered },
      (_, index) => sampleAt(state, state.offered + index)?.digest ?? '',
    );
    const decision = await writer.write(
      { type: 'samples-offered', trainer, step, through, digests },
      clock.now() + WRITE_TIMEOUT_MS,
    );
    // Another host may have offered the same at the same time; what counts is what stands now.
    return decision.ok && (stepOf(trainer, step)?.offered ?? 0) >= through;
  };

  /** Reads from a position on, as far as payloads can be had; what was offered must be had. */
  const collect = async (
    step: StepState,
    from: number,
    through: number,
  ): Promise<Result<Collected[], ReadFault>> => {
    const collected: Collected[] = [];
    for (let position = from; position < through; position += 1) {
      const sample = sampleAt(step, position);
      if (!sample) break;
      const payload = await copies.read(sample.digest, sample.holders);
      if (!payload.ok && position >= step.offered) break;
      if (!payload.ok) return Err(payload.val === 'missing' ? 'lost' : 'not-fixed');
      collected.push({ digest: sample.digest, payload: payload.val });
    }
    return Ok(collected);
  };

  const areStillThere = (step: StepState, from: number, collected: readonly Collected[]): boolean =>
    collected.every(({ digest }, index) => sampleAt(step, from + index)?.digest === digest);

  /** Reads the samples from a cursor on; the same cursor again gives the same samples again. */
  return async (
    trainer: TrainerSettings,
    step: number,
    cursor: number,
  ): Promise<Result<SamplePage, ReadFault>> => {
    await releaseUnfit(trainer, step);
    const state = stepOf(trainer.id, step);
    if (!state) return Err('unknown-step');
    const collected = await collect(state, cursor, cursor + PAGE_SAMPLES);
    if (!collected.ok) return collected;
    const next = cursor + collected.val.length;
    if (!(await offer(trainer.id, step, next))) return Err('not-fixed');
    const fixed = stepOf(trainer.id, step);
    if (!fixed || !areStillThere(fixed, cursor, collected.val)) return Err('not-fixed');
    const payloads = collected.val.map(({ payload }) => payload);
    return Ok({ payloads, next, isComplete: next >= fixed.slots.length });
  };
};

export type SampleReader = ReturnType<typeof newSampleReader>;

export default newSampleReader;

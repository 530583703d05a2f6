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
 * - `not-fixed`: the log did not confirm the positions; try again
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

  /** Frees the slots, not offered yet, whose samples aged out or are held by nobody any more. */
  const releaseUnfit = async (trainer: TrainerSettings, step: number): Promise<void> => {
    const state = stepOf(trainer.id, step);
    const newest = follower.state().trainers[trainer.id]?.version ?? 0;
    const waiting = state?.delivery.slice(state.offered) ?? [];
    for (const slot of waiting) {
      const sample = state?.slots[slot]?.sample;
      const isStale = sample && !isFresh(sample.segments, newest, trainer.stalenessBoundVersions);
      if (isStale) await release(trainer.id, step, slot, 'stale');
      else if (sample && !(await copies.read(sample.digest, sample.holders))) {
        await release(trainer.id, step, slot, 'lost');
      }
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

  const collect = async (
    step: StepState,
    from: number,
    through: number,
  ): Promise<Result<string[], ReadFault>> => {
    const payloads: string[] = [];
    for (let position = from; position < through; position += 1) {
      const sample = sampleAt(step, position);
      const payload = sample && (await copies.read(sample.digest, sample.holders));
      if (!payload) return Err('lost');
      payloads.push(payload);
    }
    return Ok(payloads);
  };

  /** Reads the samples from a cursor on; the same cursor again gives the same samples again. */
  return async (
    trainer: TrainerSettings,
    step: number,
    cursor: number,
  ): Promise<Result<SamplePage, ReadFault>> => {
    if (!stepOf(trainer.id, step)) return Err('unknown-step');
    await releaseUnfit(trainer, step);
    const state = stepOf(trainer.id, step);
    if (!state) return Err('unknown-step');
    const through = Math.min(state.delivery.length, cursor + PAGE_SAMPLES);
    if (!(await offer(trainer.id, step, through))) return Err('not-fixed');
    const offered = stepOf(trainer.id, step);
    if (!offered) return Err('unknown-step');
    const payloads = await collect(offered, cursor, through);
    if (!payloads.ok) return payloads;
    const next = cursor + payloads.val.length;
    return Ok({ payloads: payloads.val, next, isComplete: next >= offered.slots.length });
  };
};

export type SampleReader = ReturnType<typeof newSampleReader>;

export default newSampleReader;

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
const MAX_PAGE_SAMPLES = 64;

interface CollectedSample {
  digest: string;
  payload: string;
}

export interface SamplePage {
  /** Payloads in the order of their positions, starting at the cursor. */
  payloads: string[];
  /** The cursor of the next page. Reading from it acknowledges all samples before it. */
  next: number;
  /** Whether all samples of the step have been read. */
  isComplete: boolean;
}

/**
 * Why no page could be read.
 * - `unknown-step`: the step was never opened or is no longer retained
 * - `not-fixed`: the log did not confirm the positions, or a holder does not answer; retry later
 * - `lost`: all copies of a sample that may have been read before are lost
 */
export type ReadFault = 'unknown-step' | 'not-fixed' | 'lost';

export interface ReadOptions {
  clock: Clock;
  metrics: Metrics;
  follower: Follower;
  writer: LogWriter;
  copies: PayloadCopies;
}

/** Reads pages of samples for a trainer. By cursor, each sample is delivered exactly once. */
const newSampleReader = ({ clock, metrics, follower, writer, copies }: ReadOptions) => {
  const findStep = (trainer: string, step: number): StepState | undefined =>
    follower.state().trainers[trainer]?.steps[step];

  const sampleAt = (step: StepState, position: number): BoundSample | null =>
    step.slots[step.delivery[position] ?? -1]?.sample ?? null;

  const releaseSlot = async (
    trainer: string,
    step: number,
    slot: number,
    reason: 'stale' | 'lost',
  ): Promise<void> => {
    const attempt = findStep(trainer, step)?.slots[slot]?.attempt;
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

  /**
   * Releases the slots that are not offered yet and whose samples are stale or have lost all
   * copies.
   */
  const releaseStaleAndLost = async (trainer: TrainerSettings, step: number): Promise<void> => {
    const state = findStep(trainer.id, step);
    const newest = follower.state().trainers[trainer.id]?.version ?? 0;
    const unofferedSlots = state?.delivery.slice(state.offered) ?? [];
    for (const slot of unofferedSlots) {
      const sample = state?.slots[slot]?.sample;
      const isStale = sample && !isFresh(sample.segments, newest, trainer.stalenessBoundVersions);
      if (isStale) await releaseSlot(trainer.id, step, slot, 'stale');
      else if (sample && (await isLost(sample))) await releaseSlot(trainer.id, step, slot, 'lost');
    }
  };

  /** Fixes the positions before `through` in the log, before any of their samples is delivered. */
  const offer = async (trainer: string, step: number, through: number): Promise<boolean> => {
    const state = findStep(trainer, step);
    if (!state || through <= state.offered) return state !== undefined;
    const digests = Array.from(
      { length: through - state.offered },
      (_, index) => sampleAt(state, state.offered + index)?.digest ?? '',
    );
    const decision = await writer.write(
      { type: 'samples-offered', trainer, step, through, digests },
      clock.now() + WRITE_TIMEOUT_MS,
    );
    // Another host may have offered the same positions concurrently, so the folded state decides.
    return decision.ok && (findStep(trainer, step)?.offered ?? 0) >= through;
  };

  /**
   * Reads payloads from a position on, up to the first unavailable one. Fails if that one was
   * offered before.
   */
  const collect = async (
    step: StepState,
    from: number,
    through: number,
  ): Promise<Result<CollectedSample[], ReadFault>> => {
    const collected: CollectedSample[] = [];
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

  const areUnchanged = (
    step: StepState,
    from: number,
    collected: readonly CollectedSample[],
  ): boolean =>
    collected.every(({ digest }, index) => sampleAt(step, from + index)?.digest === digest);

  /**
   * Reads a page of samples at a cursor. Repeated reads with one cursor return the same samples.
   */
  return async (
    trainer: TrainerSettings,
    step: number,
    cursor: number,
  ): Promise<Result<SamplePage, ReadFault>> => {
    await releaseStaleAndLost(trainer, step);
    const state = findStep(trainer.id, step);
    if (!state) return Err('unknown-step');
    const collected = await collect(state, cursor, cursor + MAX_PAGE_SAMPLES);
    if (!collected.ok) return collected;
    const next = cursor + collected.val.length;
    if (!(await offer(trainer.id, step, next))) return Err('not-fixed');
    const confirmed = findStep(trainer.id, step);
    if (!confirmed || !areUnchanged(confirmed, cursor, collected.val)) return Err('not-fixed');
    const payloads = collected.val.map(({ payload }) => payload);
    return Ok({ payloads, next, isComplete: next >= confirmed.slots.length });
  };
};

export type SampleReader = ReturnType<typeof newSampleReader>;

export default newSampleReader;

import backoff from '@cyclamengate/common/backoff';
import type Clock from '@cyclamengate/common/Clock';
import type { Log } from '@cyclamengate/common/newLogger';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import isFresh from '@cyclamengate/coordination/isFresh';
import type { Follower } from '@cyclamengate/coordination/newFollower';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import type { StepState } from '@cyclamengate/coordination/trainerState';
import type { TrainerSettings } from '@cyclamengate/settings/trainerSettings';
import type { PayloadCopies } from './newPayloadCopies.js';
import type SampleMaker from './SampleMaker.js';
import { serializeSample } from './sample.js';
import type { StepRequest } from './stepRequest.js';

const BIND_TIMEOUT_MS = 10_000;
/** Maximum number of slots processed concurrently. */
const MAX_CONCURRENT_SLOTS = 64;
/** Late copies start only while at most this fraction of the slots is unbound. */
const STRAGGLER_MAX_UNBOUND_FRACTION = 0.25;
/** A slot is a straggler once it has taken this many times the median duration. */
const STRAGGLER_MEDIAN_FACTOR = 2;
const CHECK_INTERVAL_MS = 100;

export interface StepRunnerOptions {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  follower: Follower;
  writer: LogWriter;
  copies: PayloadCopies;
  maker: SampleMaker;
}

interface SlotJob {
  startedAt: number;
  copies: number;
  controller: AbortController;
}

const median = (values: readonly number[]): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? Infinity;
};

/** Fills the slots of steps with samples. */
const newStepRunner = (options: StepRunnerOptions) => {
  const { clock, log, metrics, follower, writer, copies, maker } = options;

  const findStep = (trainer: string, step: number): StepState | undefined =>
    follower.state().trainers[trainer]?.steps[step];

  const isUnbound = (trainer: string, step: number, slot: number): boolean =>
    findStep(trainer, step)?.slots[slot]?.sample === null;

  /** Makes one sample and binds it. A sample that could not be bound is discarded and counted. */
  const makeSample = async (
    trainer: TrainerSettings,
    key: string,
    request: StepRequest,
    slot: number,
    signal: AbortSignal,
  ): Promise<'bound' | 'discarded' | 'failed' | 'refused-for-good'> => {
    const attempt = findStep(trainer.id, request.step)?.slots[slot]?.attempt;
    const group = Math.floor(slot / request.groupSize);
    const prompt = request.prompts[group];
    if (attempt === undefined || prompt === undefined) return 'discarded';
    const generated = await maker.generate(key, trainer.service, prompt, request.maxTokens, signal);
    if (!generated.ok) return generated.val;
    metrics.count('samples_made');
    const newest = follower.state().trainers[trainer.id]?.version ?? 0;
    if (!isFresh(generated.val.segments, newest, trainer.stalenessBoundVersions)) {
      metrics.count('samples_discarded_stale');
      return 'discarded';
    }
    const scored = trainer.scoringService
      ? await maker.score(key, trainer.scoringService, prompt, generated.val.tokens, signal)
      : null;
    if (scored && !scored.ok) return scored.val;
    const { payload, payloadDigest } = serializeSample({
      trainer: trainer.id,
      step: request.step,
      slot,
      group,
      prompt,
      ...generated.val,
      score: scored ? scored.val : null,
    });
    const holders = await copies.replicate(payloadDigest, payload);
    const decision = await writer.write(
      {
        type: 'sample-bound',
        trainer: trainer.id,
        step: request.step,
        slot,
        attempt,
        digest: payloadDigest,
        holders,
        segments: generated.val.segments,
      },
      clock.now() + BIND_TIMEOUT_MS,
    );
    if (decision.ok && decision.val.accepted) return 'bound';
    metrics.count('samples_discarded_unbound');
    return 'discarded';
  };

  /** Makes samples for one slot until any process has bound it or the step is aborted. */
  const fillSlot = async (
    trainer: TrainerSettings,
    key: string,
    request: StepRequest,
    slot: number,
    signal: AbortSignal,
  ): Promise<void> => {
    let failures = 0;
    while (!signal.aborted && isUnbound(trainer.id, request.step, slot)) {
      const outcome = await makeSample(trainer, key, request, slot, signal);
      if (outcome === 'refused-for-good') {
        log.warn({ event: 'slot-refused', trainer: trainer.id, step: request.step, slot });
        return;
      }
      if (outcome === 'failed') {
        failures += 1;
        await clock.sleepUntil(backoff(clock.now(), failures), signal);
      }
    }
  };

  /**
   * Runs a step until all its slots are bound or the deadline passes. Stragglers get late copies
   * within the trainer's limit; the first binding in the log wins.
   */
  const run = async (
    trainer: TrainerSettings,
    key: string,
    request: StepRequest,
    deadline: number,
    signal: AbortSignal,
  ): Promise<void> => {
    const jobs = new Map<number, SlotJob>();
    const durations: number[] = [];
    let lateCopies = 0;

    const listUnboundSlots = (): number[] => {
      const slots = findStep(trainer.id, request.step)?.slots ?? [];
      return slots.flatMap(({ sample }, slot) => (sample ? [] : [slot]));
    };

    const startCopy = (slot: number, job: SlotJob): void => {
      job.copies += 1;
      fillSlot(trainer, key, request, slot, job.controller.signal)
        .then(() => durations.push(clock.now() - job.startedAt))
        .catch((error: unknown) => log.error({ event: 'slot-failed', error: String(error) }))
        .finally(() => {
          job.copies -= 1;
          if (job.copies === 0 || !isUnbound(trainer.id, request.step, slot)) {
            job.controller.abort();
            jobs.delete(slot);
          }
        });
    };

    const startSlot = (slot: number): void => {
      const job = { startedAt: clock.now(), copies: 0, controller: new AbortController() };
      jobs.set(slot, job);
      startCopy(slot, job);
    };

    const startLateCopies = (unbound: readonly number[], slots: number): void => {
      if (unbound.length > slots * STRAGGLER_MAX_UNBOUND_FRACTION) return;
      const limitMs = median(durations) * STRAGGLER_MEDIAN_FACTOR;
      unbound.forEach((slot) => {
        const job = jobs.get(slot);
        const isLate = job && job.copies === 1 && clock.now() - job.startedAt > limitMs;
        if (!isLate || lateCopies >= trainer.maxLateCopies) return;
        lateCopies += 1;
        metrics.count('samples_late_copies');
        startCopy(slot, job);
      });
    };

    while (!signal.aborted && clock.now() < deadline) {
      const unbound = listUnboundSlots();
      const slots = findStep(trainer.id, request.step)?.slots.length ?? 0;
      if (unbound.length === 0) break;
      unbound
        .filter((slot) => !jobs.has(slot))
        .slice(0, Math.max(0, MAX_CONCURRENT_SLOTS - jobs.size))
        .forEach(startSlot);
      startLateCopies(unbound, slots);
      await clock.sleepUntil(Math.min(deadline, clock.now() + CHECK_INTERVAL_MS), signal);
    }
    jobs.forEach(({ controller }) => controller.abort());
  };

  return { run };
};

export type StepRunner = ReturnType<typeof newStepRunner>;

export default newStepRunner;

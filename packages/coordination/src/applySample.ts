import { ACCEPTED, rejected } from '@cyclamengate/settings/decision';
import type { Decision } from '@cyclamengate/settings/decision';
import type { SettingsTree } from '@cyclamengate/settings/settingsTree';
import isFresh from './isFresh.js';
import type {
  SampleBound,
  SamplesOffered,
  SlotReleased,
  StepOpened,
  WeightsPublished,
} from './sampleRecords.js';
import type { StepState, TrainerState } from './trainerState.js';

/** Older steps are evicted. A step further behind the newest one than this cannot be opened. */
const MAX_STEPS_PER_TRAINER = 8;

type Trainers = Record<string, TrainerState>;

const getOrCreateTrainer = (trainers: Trainers, id: string): TrainerState => {
  trainers[id] ??= { version: 0, steps: {} };
  return trainers[id];
};

const findStalenessBound = (settings: SettingsTree, trainer: string): number | null => {
  const trainerSettings = Object.values(settings)
    .flatMap(({ subtree }) => subtree?.trainers ?? [])
    .find(({ id }) => id === trainer);
  return trainerSettings ? trainerSettings.stalenessBoundVersions : null;
};

/** Sets the trainer's current version, which never decreases. */
export const applyWeightsPublished = (
  trainers: Trainers,
  published: WeightsPublished,
): Decision => {
  const trainer = getOrCreateTrainer(trainers, published.trainer);
  if (published.version <= trainer.version) return rejected(`version ${trainer.version} is out`);
  trainer.version = published.version;
  return ACCEPTED;
};

const evictSteps = (trainer: TrainerState): void => {
  const steps = Object.keys(trainer.steps).sort((left, right) => Number(left) - Number(right));
  steps.slice(0, Math.max(0, steps.length - MAX_STEPS_PER_TRAINER)).forEach((step) => {
    delete trainer.steps[step];
  });
};

/** Creates a step's slots. Opening it again with the same groups and group size has no effect. */
export const applyStepOpened = (trainers: Trainers, opened: StepOpened): Decision => {
  const trainer = getOrCreateTrainer(trainers, opened.trainer);
  const existing = trainer.steps[opened.step];
  if (existing) {
    const isSame = existing.groups === opened.groups && existing.groupSize === opened.groupSize;
    return isSame ? ACCEPTED : rejected('the step is open with another shape');
  }
  const newest = Math.max(-1, ...Object.keys(trainer.steps).map(Number));
  if (opened.step < newest - MAX_STEPS_PER_TRAINER) return rejected('the step is long over');
  trainer.steps[opened.step] = {
    groups: opened.groups,
    groupSize: opened.groupSize,
    slots: Array.from({ length: opened.groups * opened.groupSize }, () => ({
      attempt: 0,
      sample: null,
    })),
    delivery: [],
    offered: 0,
  };
  evictSteps(trainer);
  return ACCEPTED;
};

const findStep = (trainers: Trainers, id: string, step: number): StepState | undefined =>
  trainers[id]?.steps[step];

/**
 * Binds a sample to a slot. Copies of a slow sample may finish on several hosts at the same time;
 * the first binding in the log wins and the others are rejected, so the trainer never gets two of
 * them.
 */
export const applySampleBound = (
  trainers: Trainers,
  settings: SettingsTree,
  bound: SampleBound,
): Decision => {
  const step = findStep(trainers, bound.trainer, bound.step);
  const slot = step?.slots[bound.slot];
  if (!step || !slot) return rejected('there is no such slot');
  if (slot.attempt !== bound.attempt) return rejected('the slot was released since');
  if (slot.sample) return rejected('the slot is bound already');
  const limit = findStalenessBound(settings, bound.trainer);
  const { version } = getOrCreateTrainer(trainers, bound.trainer);
  if (limit === null) return rejected('the trainer is not in the settings');
  if (!isFresh(bound.segments, version, limit)) return rejected('the sample is too old');
  slot.sample = { digest: bound.digest, holders: bound.holders, segments: bound.segments };
  step.delivery.push(bound.slot);
  return ACCEPTED;
};

/** Releases a slot for a new sample; rejected once its sample may have been sent to the trainer. */
export const applySlotReleased = (trainers: Trainers, released: SlotReleased): Decision => {
  const step = findStep(trainers, released.trainer, released.step);
  const slot = step?.slots[released.slot];
  if (!step || !slot?.sample) return rejected('the slot is not bound');
  if (slot.attempt !== released.attempt) return rejected('the slot was released since');
  const position = step.delivery.indexOf(released.slot);
  if (position < step.offered) return rejected('the sample was offered to the trainer');
  step.delivery.splice(position, 1);
  slot.sample = null;
  slot.attempt += 1;
  return ACCEPTED;
};

/**
 * Fixes the positions that are about to be sent to the trainer.
 *
 * A host with an old state could send a sample that was released and generated again elsewhere, and
 * the trainer would get both. So samples are only sent after this record is accepted. It names
 * their digests, and their staleness is checked again here, at the same log offset on all hosts.
 */
export const applySamplesOffered = (
  trainers: Trainers,
  settings: SettingsTree,
  offered: SamplesOffered,
): Decision => {
  const step = findStep(trainers, offered.trainer, offered.step);
  if (!step) return rejected('there is no such step');
  if (offered.through <= step.offered) return rejected('offered already');
  const samples = step.delivery
    .slice(step.offered, offered.through)
    .map((slot) => step.slots[slot]?.sample ?? null);
  const currentDigests = samples.map((sample) => sample?.digest).join();
  if (currentDigests !== offered.digests.join()) return rejected('the positions have moved');
  const limit = findStalenessBound(settings, offered.trainer) ?? 0;
  const { version } = getOrCreateTrainer(trainers, offered.trainer);
  const isAllFresh = samples.every((sample) => sample && isFresh(sample.segments, version, limit));
  if (!isAllFresh) return rejected('a sample has grown too old');
  step.offered = offered.through;
  return ACCEPTED;
};

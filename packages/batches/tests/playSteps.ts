import assignEngines from '@cyclamengate/engines/assignEngines';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import { estimateRunMs, isLateAt } from '../src/expectedTimes.js';
import estimateRest from '../src/estimateRest.js';
import findFasterMoves from '../src/findFasterMoves.js';
import planStarts from '../src/planStarts.js';
import type { WaitingItem } from '../src/planStarts.js';
import { newCandidate } from './helpers.js';
import newLengths from './newLengths.js';

const TICK_MS = 40;
const STEP_INTERVAL_MS = 4_000;
const DUE_MS = 7_500;
const MOVE_MS = 80;
const SLOTS = 6;
const GROUP_ITEMS = 8;
const WANTED_PART = 0.9;
const DOMAINS = ['detroit', 'cleveland', 'milwaukee'];

/** Which of the parts under test decide; without them, as before. */
export interface Parts {
  /** Engines assigned by demand and pace. */
  isAssigned: boolean;
  /** Items ordered by slack and pace, and their rest by what they have generated. */
  isOrdered: boolean;
  hasMoves: boolean;
}

export interface Trainer {
  model: string;
  items: number;
  medianTokens: number;
}

interface PlayedItem {
  key: string;
  trainer: Trainer;
  step: number;
  group: number;
  acceptedAt: number;
  length: number;
  hint: number;
  generated: number;
  upstream: string | null;
  busyUntil: number;
  movedAt: number;
  doneAt: number;
}

/** Plays steps of trainers on engines of given speeds: a loop over ticks and slots. */
const playSteps = (
  trainers: Trainer[],
  speeds: number[],
  parts: Parts,
  { steps, seed }: { steps: number; seed: number },
) => {
  const { random, spread, lengths } = newLengths(seed);
  const engines = speeds.map((speed, index) => ({
    id: `engine-${seed}-${index}`,
    failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
    slots: SLOTS,
    pace: parts.isAssigned ? speed : 1,
    speed,
  }));
  const speedOf = new Map(engines.map(({ id, speed }) => [id, speed]));
  const assignments = assignEngines(
    trainers.map(({ model, items, medianTokens }) => ({
      model,
      demand: parts.isAssigned ? items * medianTokens : 1,
    })),
    engines,
  );
  const modelsOf = (id: string) =>
    trainers
      .filter(({ model }) => assignments.get(model)?.has(id))
      .map(({ model }) => ({ model, version: 1 }));
  const entries = new Map(engines.map(({ id }) => [id, { slots: SLOTS, models: modelsOf(id) }]));
  const items: PlayedItem[] = [];
  let moves = 0;

  const addStep = (trainer: Trainer, step: number, now: number): void =>
    lengths(trainer.items, trainer.medianTokens).forEach((length, index) =>
      items.push({
        key: `${trainer.model}/${step}/${index}`,
        trainer,
        step,
        group: Math.floor(index / GROUP_ITEMS),
        acceptedAt: now,
        length,
        hint: length / (length > 3 * trainer.medianTokens ? 2 : 1) / spread(),
        generated: 0,
        upstream: null,
        busyUntil: now,
        movedAt: -Infinity,
        doneAt: Infinity,
      }),
    );

  const findCandidates = (open: PlayedItem[]): Candidate[] =>
    engines.map(({ id, speed }) => {
      const load = open.filter(({ upstream }) => upstream === id).length;
      return newCandidate(
        id,
        { load, pace: parts.isOrdered ? speed : 1, lastingPace: speed },
        entries.get(id),
      );
    });

  const groupOf = ({ trainer, step, group }: PlayedItem): string =>
    `${trainer.model}/${step}/${group}`;

  const describe = (open: PlayedItem[], now: number): Map<string, WaitingItem> => {
    const restOf = ({ hint, generated }: PlayedItem): number =>
      parts.isOrdered ? estimateRest(hint, generated) : Math.max(160, hint - generated);
    const isLate = (item: PlayedItem): boolean =>
      parts.isOrdered && isLateAt(now, item.acceptedAt + DUE_MS, restOf(item), 0.5);
    const late = new Set(open.filter(isLate).map(groupOf));
    const findTurn = (item: PlayedItem): number =>
      item.acceptedAt + (parts.isOrdered ? DUE_MS - estimateRunMs(restOf(item), 1) : 0);
    return new Map(
      open.map((item) => [
        item.key,
        {
          key: item.key,
          model: item.trainer.model,
          minVersion: 1,
          requiredVersion: null,
          expectedTokens: restOf(item),
          startBy: findTurn(item),
          turn: findTurn(item),
          isWanted: true,
          isLate: late.has(groupOf(item)),
          avoidedUpstream: null,
          reservedUpstream: null,
        },
      ]),
    );
  };

  const plan = (open: PlayedItem[], now: number): void => {
    const byKey = new Map(open.map((item) => [item.key, item]));
    const described = describe(open, now);
    const pick = (isPicked: (item: PlayedItem) => boolean): WaitingItem[] =>
      open.filter(isPicked).flatMap(({ key }) => described.get(key) ?? []);
    const waiting = pick(({ upstream }) => upstream === null);
    const never = (): boolean => false;
    if (parts.hasMoves) {
      const movable = pick((item) => item.upstream !== null && now > item.movedAt + 1_000);
      const running = movable.map((item) => ({
        ...item,
        upstream: byKey.get(item.key)?.upstream ?? '',
      }));
      findFasterMoves(now, running, waiting, findCandidates(open), never, random).forEach(
        ({ key, target }) => {
          moves += 1;
          Object.assign(byKey.get(key) ?? {}, {
            upstream: target,
            movedAt: now,
            busyUntil: now + MOVE_MS,
          });
        },
      );
    }
    planStarts(waiting, findCandidates(open), never, random).forEach(({ key, candidate }) => {
      Object.assign(byKey.get(key) ?? {}, {
        upstream: candidate.entry.id,
        busyUntil: now + MOVE_MS,
      });
    });
  };

  const generate = (open: PlayedItem[], now: number): void =>
    open.forEach((item) => {
      if (item.upstream === null || now < item.busyUntil) return;
      item.generated += TICK_MS / estimateRunMs(1, speedOf.get(item.upstream) ?? 1);
      if (item.generated >= item.length) item.doneAt = now;
    });

  for (let now = 0; now < steps * STEP_INTERVAL_MS + DUE_MS; now += TICK_MS) {
    trainers.forEach((trainer, index) => {
      const sinceFirst = now - (index * STEP_INTERVAL_MS) / trainers.length;
      const step = sinceFirst / STEP_INTERVAL_MS;
      if (Number.isInteger(step) && step >= 0 && step < steps) addStep(trainer, step, now);
    });
    const open = items.filter(({ doneAt }) => doneAt === Infinity);
    generate(open, now);
    plan(
      open.filter(({ doneAt }) => doneAt === Infinity),
      now,
    );
  }

  const isInTime = ({ doneAt, acceptedAt }: PlayedItem): boolean => doneAt <= acceptedAt + DUE_MS;
  const shareOf = (list: boolean[]): number => list.filter(Boolean).length / list.length;
  const groupsOf = (list: PlayedItem[]): boolean[] =>
    [...new Set(list.map(groupOf))].map((group) =>
      list.filter((item) => groupOf(item) === group).every(isInTime),
    );
  const stepsOf = (list: PlayedItem[]): boolean[] =>
    Array.from({ length: steps }, (_, step) =>
      groupsOf(list.filter((item) => item.step === step)),
    ).map((groups) => shareOf(groups) >= WANTED_PART);
  const byTrainer = trainers.map((trainer) => items.filter((item) => item.trainer === trainer));
  return {
    items: shareOf(items.map(isInTime)),
    groups: byTrainer.map((list) => shareOf(groupsOf(list))),
    steps: byTrainer.map((list) => shareOf(stepsOf(list))),
    moves,
    unfinished: items.filter(({ doneAt }) => doneAt === Infinity).length,
  };
};

export default playSteps;

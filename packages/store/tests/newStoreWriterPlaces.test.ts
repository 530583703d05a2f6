import test from 'ava';
import type { ExecutionContext } from 'ava';
import { newFault, LATE_DELAY_RANGE_MS } from './FaultyStore.js';
import type { Fault, FaultKind } from './FaultyStore.js';
import { HOSTS, runWritePlan } from './runWritePlan.js';
import type { Plan, PlannedWrite } from './runWritePlan.js';

const NO_EXPIRY_MS = 1_000_000;
const RUNS = Number(process.env.PLACES_RUNS ?? 300);
const SEED = Number(process.env.PLACES_SEED ?? 1);

const CERTAIN_OUTCOMES: FaultKind[] = ['none', 'slow', 'refused', 'unconnected'];
const UNCERTAIN_OUTCOMES: FaultKind[] = ['none', 'slow', 'lost', 'silent', 'late'];
const REFUSED_OR_LOST: FaultKind[] = ['none', 'refused', 'lost'];
const WITHOUT_PRODUCER_FAULTS: FaultKind[] = [...CERTAIN_OUTCOMES, ...UNCERTAIN_OUTCOMES];
const ALL: FaultKind[] = [...WITHOUT_PRODUCER_FAULTS, 'seq', 'fenced', 'evicted'];

/** Integers in a range, reproducible by seed (Lehmer random number generator). */
const newRandom = (seed: number) => {
  let state = (seed * 7_919 + 104_729) % 2_147_483_647;
  return (min: number, max: number): number => {
    state = (state * 48_271) % 2_147_483_647;
    return min + Math.floor((state / 2_147_483_647) * (max - min + 1));
  };
};

type Random = ReturnType<typeof newRandom>;

const times = <T>(count: number, make: () => T): T[] => Array.from({ length: count }, make);

const randomPlan = (random: Random, kinds: FaultKind[], mayExpire: boolean): Plan => {
  const randomFault = (): Fault => ({
    kind: kinds[random(0, kinds.length - 1)] ?? 'none',
    delayFraction: random(0, 20) / 20,
    lateMs: random(...LATE_DELAY_RANGE_MS),
  });
  const randomTimeoutMs = (): number => random(1, random(0, 1) === 0 ? 400 : 6_000);
  const randomWrite = (): PlannedWrite => ({
    host: random(0, HOSTS - 1),
    afterMs: random(0, [0, 0, 60, 1_500][random(0, 3)] ?? 0),
    records: random(1, 3),
    timeoutMs: mayExpire ? randomTimeoutMs() : NO_EXPIRY_MS,
  });
  return {
    faults: times(HOSTS, () => times(random(0, 12), randomFault)),
    writes: times(random(1, 24), randomWrite),
  };
};

interface Options {
  kinds: FaultKind[];
  mayExpire: boolean;
  /** Maximum copies of a record; an append that is retried in a new epoch may be stored twice. */
  maxCopies: number;
}

/** Runs one plan per seed; reports the seeds that fail and logs the shortest of their traces. */
const assertOffsets = async (t: ExecutionContext, options: Options): Promise<void> => {
  const { kinds, mayExpire, maxCopies } = options;
  const outcomeCounts = new Map<string, number>();
  const failures: { seed: number; lines: string[] }[] = [];
  for (let seed = SEED; seed < SEED + RUNS; seed += 1) {
    const { violations, trace, copies, outcomes } = await runWritePlan(
      randomPlan(newRandom(seed), kinds, mayExpire),
    );
    outcomes.forEach((outcome) =>
      outcomeCounts.set(outcome, (outcomeCounts.get(outcome) ?? 0) + 1),
    );
    if (copies > maxCopies) violations.push(`a record is stored ${copies} times`);
    if (violations.length > 0) failures.push({ seed, lines: [...violations, ...trace] });
  }
  const [shortest] = failures.toSorted((one, other) => one.lines.length - other.lines.length);
  t.log(
    `seeds ${SEED} to ${SEED + RUNS - 1}, outcomes ${JSON.stringify(Object.fromEntries(outcomeCounts))}`,
  );
  if (shortest) t.log(`seed ${shortest.seed}:\n${shortest.lines.join('\n')}`);
  t.true((outcomeCounts.get('written') ?? 0) > 0);
  t.deepEqual(
    failures.map(({ seed }) => seed),
    [],
  );
};

const newWrite = (timeoutMs: number): PlannedWrite => ({
  host: 0,
  afterMs: 0,
  records: 1,
  timeoutMs,
});

// A refused group is retried without its expired write, and the answer to the retry is lost.
test('retrying a group after one of its writes expired does not shift the offsets of the others', async (t) => {
  const { violations, trace } = await runWritePlan({
    faults: [[newFault('none', 1), newFault('refused', 1), newFault('lost')]],
    writes: [newWrite(9_000), newWrite(50), newWrite(9_000)],
  });
  if (violations.length > 0) t.log(trace.join('\n'));
  t.deepEqual(violations, []);
});

// As above, but the retry is not executed, so the records of the next retry are the ones stored.
test('a write that expired unwritten is not appended when the rest of its group is retried', async (t) => {
  const { violations, trace } = await runWritePlan({
    faults: [[newFault('none', 1), newFault('refused', 1), newFault('silent')]],
    writes: [newWrite(9_000), newWrite(50), newWrite(9_000)],
  });
  if (violations.length > 0) t.log(trace.join('\n'));
  t.deepEqual(violations, []);
});

test('all offsets are correct when appends are refused and grouped writes expire', (t) =>
  assertOffsets(t, { kinds: CERTAIN_OUTCOMES, mayExpire: true, maxCopies: 1 }));

test('all offsets are correct when appends are refused or lose their answers and grouped writes expire', (t) =>
  assertOffsets(t, { kinds: REFUSED_OR_LOST, mayExpire: true, maxCopies: 1 }));

test('all offsets are correct when appends are unanswered or executed late and grouped writes expire', (t) =>
  assertOffsets(t, { kinds: UNCERTAIN_OUTCOMES, mayExpire: true, maxCopies: 1 }));

test('all offsets are correct when appends are refused, unanswered or late and no write expires', (t) =>
  assertOffsets(t, { kinds: WITHOUT_PRODUCER_FAULTS, mayExpire: false, maxCopies: 1 }));

test('all offsets are correct when appends are refused, unanswered or late and grouped writes expire', (t) =>
  assertOffsets(t, { kinds: WITHOUT_PRODUCER_FAULTS, mayExpire: true, maxCopies: 1 }));

test('all offsets are correct when the store rejects sequence numbers and no write expires', (t) =>
  assertOffsets(t, { kinds: ALL, mayExpire: false, maxCopies: Infinity }));

test('all offsets are correct when the store rejects sequence numbers and grouped writes expire', (t) =>
  assertOffsets(t, { kinds: ALL, mayExpire: true, maxCopies: Infinity }));

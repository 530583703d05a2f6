import test from 'ava';
import type { ExecutionContext } from 'ava';
import { faultOf, LATE_MS } from './FaultyStore.js';
import type { Fault, FaultKind } from './FaultyStore.js';
import { HOSTS, play } from './playWrites.js';
import type { Plan, PlannedWrite } from './playWrites.js';

const ENDLESS_MS = 1_000_000;
const RUNS = Number(process.env.PLACES_RUNS ?? 300);
const SEED = Number(process.env.PLACES_SEED ?? 1);

const CERTAIN: FaultKind[] = ['none', 'slow', 'refused', 'unconnected'];
const UNCERTAIN: FaultKind[] = ['none', 'slow', 'lost', 'silent', 'late'];
const REFUSED_OR_LOST: FaultKind[] = ['none', 'refused', 'lost'];
const UNNUMBERED: FaultKind[] = [...CERTAIN, ...UNCERTAIN];
const ALL: FaultKind[] = [...UNNUMBERED, 'seq', 'fenced', 'forgot'];

/** Whole numbers between two, the same for the same seed (Lehmer's generator). */
const newRandom = (seed: number) => {
  let state = (seed * 7_919 + 104_729) % 2_147_483_647;
  return (least: number, most: number): number => {
    state = (state * 48_271) % 2_147_483_647;
    return least + Math.floor((state / 2_147_483_647) * (most - least + 1));
  };
};

type Random = ReturnType<typeof newRandom>;

const times = <T>(count: number, make: () => T): T[] => Array.from({ length: count }, make);

const planOf = (random: Random, kinds: FaultKind[], mayExpire: boolean): Plan => {
  const faultNow = (): Fault => ({
    kind: kinds[random(0, kinds.length - 1)] ?? 'none',
    share: random(0, 20) / 20,
    lateMs: random(...LATE_MS),
  });
  const patienceNow = (): number => random(1, random(0, 1) === 0 ? 400 : 6_000);
  const writeNow = (): PlannedWrite => ({
    host: random(0, HOSTS - 1),
    afterMs: random(0, [0, 0, 60, 1_500][random(0, 3)] ?? 0),
    records: random(1, 3),
    patienceMs: mayExpire ? patienceNow() : ENDLESS_MS,
  });
  return {
    faults: times(HOSTS, () => times(random(0, 12), faultNow)),
    writes: times(random(1, 24), writeNow),
  };
};

interface Options {
  kinds: FaultKind[];
  mayExpire: boolean;
  /** Most copies of a record; a renumbered append may stand twice. */
  mostCopies: number;
}

/** Plays one plan a seed; names the seeds that fail and logs the shortest of their plays. */
const assertPlaces = async (t: ExecutionContext, options: Options): Promise<void> => {
  const { kinds, mayExpire, mostCopies } = options;
  const told = new Map<string, number>();
  const failures: { seed: number; lines: string[] }[] = [];
  for (let seed = SEED; seed < SEED + RUNS; seed += 1) {
    const { violations, trace, copies, outcomes } = await play(
      planOf(newRandom(seed), kinds, mayExpire),
    );
    outcomes.forEach((outcome) => told.set(outcome, (told.get(outcome) ?? 0) + 1));
    if (copies > mostCopies) violations.push(`a record stands ${copies} times`);
    if (violations.length > 0) failures.push({ seed, lines: [...violations, ...trace] });
  }
  const [shortest] = failures.toSorted((one, other) => one.lines.length - other.lines.length);
  t.log(`seeds ${SEED} to ${SEED + RUNS - 1}, told ${JSON.stringify(Object.fromEntries(told))}`);
  if (shortest) t.log(`seed ${shortest.seed}:\n${shortest.lines.join('\n')}`);
  t.true((told.get('written') ?? 0) > 0);
  t.deepEqual(
    failures.map(({ seed }) => seed),
    [],
  );
};

const write = (patienceMs: number): PlannedWrite => ({
  host: 0,
  afterMs: 0,
  records: 1,
  patienceMs,
});

// A refused group is sent again without its expired write, and the answer of that append is lost.
test('a group repeated after a write expired does not shift the places of the others', async (t) => {
  const { violations, trace } = await play({
    faults: [[faultOf('none', 1), faultOf('refused', 1), faultOf('lost')]],
    writes: [write(9_000), write(50), write(9_000)],
  });
  if (violations.length > 0) t.log(trace.join('\n'));
  t.deepEqual(violations, []);
});

// As above, but that append did nothing, so what is repeated is what stands in the end.
test('a write that expired unwritten does not land when the rest of its group is repeated', async (t) => {
  const { violations, trace } = await play({
    faults: [[faultOf('none', 1), faultOf('refused', 1), faultOf('silent')]],
    writes: [write(9_000), write(50), write(9_000)],
  });
  if (violations.length > 0) t.log(trace.join('\n'));
  t.deepEqual(violations, []);
});

test('no place is wrong when appends are refused and grouped writes expire', (t) =>
  assertPlaces(t, { kinds: CERTAIN, mayExpire: true, mostCopies: 1 }));

test('no place is wrong when appends are refused or lose their answers and grouped writes expire', (t) =>
  assertPlaces(t, { kinds: REFUSED_OR_LOST, mayExpire: true, mostCopies: 1 }));

test('no place is wrong when appends go unanswered or land late and grouped writes expire', (t) =>
  assertPlaces(t, { kinds: UNCERTAIN, mayExpire: true, mostCopies: 1 }));

test('no place is wrong when appends are refused, unanswered or late and no write expires', (t) =>
  assertPlaces(t, { kinds: UNNUMBERED, mayExpire: false, mostCopies: 1 }));

test('no place is wrong when appends are refused, unanswered or late and grouped writes expire', (t) =>
  assertPlaces(t, { kinds: UNNUMBERED, mayExpire: true, mostCopies: 1 }));

test('no place is wrong when the store rejects numbers and no write expires', (t) =>
  assertPlaces(t, { kinds: ALL, mayExpire: false, mostCopies: Infinity }));

test('no place is wrong when the store rejects numbers and grouped writes expire', (t) =>
  assertPlaces(t, { kinds: ALL, mayExpire: true, mostCopies: Infinity }));

import type Clock from '@cyclamengate/common/Clock';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import Store from '../src/Store.js';
import type { Appended, Producer } from '../src/Store.js';
import newStoreWriter from '../src/newStoreWriter.js';
import type { Placed } from '../src/newStoreWriter.js';
import type { StoreFault } from '../src/storeFault.js';
import silentLog from './silentLog.js';

type Answer = Result<Appended, StoreFault>;

/**
 * `lost` is done without an answer, `late` without one and after the caller has given up; `seq` and
 * `fenced` do nothing; `forgot` serves a producer whose answers, but not numbers, were forgotten.
 */
type FaultKind =
  | 'none'
  | 'slow'
  | 'refused'
  | 'unconnected'
  | 'lost'
  | 'silent'
  | 'late'
  | 'seq'
  | 'fenced'
  | 'forgot';

interface Fault {
  kind: FaultKind;
  /** Between 0 and 1, of the time that a call of this kind may take. */
  share: number;
  /** When a late append is executed, counted from its sending. */
  lateMs: number;
}

interface PlannedWrite {
  host: number;
  afterMs: number;
  records: number;
  patienceMs: number;
}

interface Plan {
  /** By host: what befalls its appends, in order; those after the last one are served. */
  faults: Fault[][];
  writes: PlannedWrite[];
}

const TOPIC = 'work';
const HOSTS = 3;
const REMEMBERED_APPENDS = 5;
const CALL_TIMEOUT_MS = 1_200;
const CONNECT_TIMEOUT_MS = 800;
const LATE_MS = [1_000, 6_000] as const;
const SERVED_WITHIN_MS = 40;
/** Longer than all faults of a plan together, and than the last late append. */
const AFTERMATH_MS = 60_000;
const ENDLESS_MS = 1_000_000;
const RUNS = Number(process.env.PLACES_RUNS ?? 300);
const SEED = Number(process.env.PLACES_SEED ?? 1);

const CERTAIN: FaultKind[] = ['none', 'slow', 'refused', 'unconnected'];
const UNCERTAIN: FaultKind[] = ['none', 'slow', 'lost', 'silent', 'late'];
const REFUSED_OR_LOST: FaultKind[] = ['none', 'refused', 'lost'];
const UNNUMBERED: FaultKind[] = [...CERTAIN, ...UNCERTAIN];
const ALL: FaultKind[] = [...UNNUMBERED, 'seq', 'fenced', 'forgot'];

const faultOf = (kind: FaultKind, share = 0): Fault => ({ kind, share, lateMs: LATE_MS[0] });

/** One partition of the platform's store, with the numbers of its producers. */
const newPartition = () => {
  const log: string[] = [];
  const producers = new Map<string, { epoch: number; last: number; answers: number[] }>();

  const appendAs = ({ name, epoch, sequence }: Producer, bodies: string[]): Answer => {
    const known = producers.get(name);
    if (known && epoch < known.epoch) return Err({ type: 'fenced' });
    const series = known?.epoch === epoch ? known : { epoch, last: sequence - 1, answers: [] };
    const repeated = series.answers[sequence - (series.last - series.answers.length + 1)];
    if (repeated !== undefined) return Ok({ offset: repeated });
    if (sequence !== series.last + 1) return Err({ type: 'sequence', expected: series.last + 1 });
    const offset = log.length;
    log.push(...bodies);
    const answers = [...series.answers, offset].slice(-REMEMBERED_APPENDS);
    producers.set(name, { epoch, last: sequence, answers });
    return Ok({ offset });
  };

  const forget = (name: string): void => {
    producers.get(name)?.answers.splice(0);
  };

  return { log, appendAs, forget };
};

type Partition = ReturnType<typeof newPartition>;

const show = (answer: Answer): string => JSON.stringify(answer.val);

/** The partition as one host reaches it: each append meets the next of the host's faults. */
class FaultyStore extends Store {
  constructor(
    private readonly clock: Clock,
    private readonly partition: Partition,
    private readonly faults: Fault[],
    private readonly trace: string[],
  ) {
    super();
  }

  async append(_topic: string, records: Buffer[], producer: Producer): Promise<Answer> {
    const fault = this.faults.shift() ?? faultOf('none');
    const bodies = records.map(String);
    const label = `${producer.name} epoch ${producer.epoch} seq ${producer.sequence}`;
    this.note(`${label} sends [${bodies.join(' ')}] (${fault.kind})`);
    if (fault.kind === 'forgot') this.partition.forget(producer.name);
    const answer = await this.meet(fault, () => {
      const done = this.partition.appendAs(producer, bodies);
      this.note(`${label} [${bodies.join(' ')}] executed: ${show(done)}`);
      return done;
    });
    this.note(`${label} is answered ${show(answer)}`);
    return answer;
  }

  private note(line: string): void {
    this.trace.push(`${this.clock.now()} ${line}`);
  }

  private async pass(ms: number): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + Math.round(ms));
  }

  private async meet({ kind, share, lateMs }: Fault, execute: () => Answer): Promise<Answer> {
    const unanswered = Err<StoreFault>({ type: 'unknown', reason: kind });
    switch (kind) {
      case 'refused':
        await this.pass(share * SERVED_WITHIN_MS);
        return Err({ type: 'not-done', reason: 'status 503' });
      case 'unconnected':
        await this.pass(share * CONNECT_TIMEOUT_MS);
        return Err({ type: 'not-done', reason: 'ECONNREFUSED' });
      case 'lost':
        await this.pass(share * CALL_TIMEOUT_MS);
        execute();
        await this.pass((1 - share) * CALL_TIMEOUT_MS);
        return unanswered;
      case 'silent':
        await this.pass(CALL_TIMEOUT_MS);
        return unanswered;
      case 'late':
        this.pass(lateMs).then(execute);
        await this.pass(share * CALL_TIMEOUT_MS);
        return unanswered;
      case 'seq':
        await this.pass(share * SERVED_WITHIN_MS);
        return Err({ type: 'sequence', expected: 0 });
      case 'fenced':
        await this.pass(share * SERVED_WITHIN_MS);
        return Err({ type: 'fenced' });
      default: {
        const callMs = kind === 'slow' ? CALL_TIMEOUT_MS - 1 : SERVED_WITHIN_MS;
        await this.pass((share * callMs) / 2);
        const answer = execute();
        await this.pass((share * callMs) / 2);
        return answer;
      }
    }
  }

  async read(): Promise<never> {
    throw new Error('unused');
  }

  async trim(): Promise<never> {
    throw new Error('unused');
  }

  async newest(): Promise<never> {
    throw new Error('unused');
  }

  keyed(): never {
    throw new Error('unused');
  }
}

const isAt = (log: string[], offset: number, bodies: string[]): boolean =>
  bodies.every((body, index) => log[offset + index] === body);

/** What a write was told and the log contradicts; null where they agree. */
const contradiction = (log: string[], bodies: string[], placed: Placed): string | null => {
  const { outcome, offset } = placed;
  if (outcome === 'unknown') return null;
  const standing = bodies.filter((body) => log.includes(body)).length;
  if (outcome === 'not-written') return standing === 0 ? null : 'not-written, but it stands';
  if (offset === null) return standing === bodies.length ? null : 'written, but it does not stand';
  if (isAt(log, offset, bodies)) return null;
  return `not at its place ${offset}, where [${log.slice(offset, offset + bodies.length).join(' ')}]`;
};

const newHosts = (clock: Clock, partition: Partition, plan: Plan, trace: string[]) =>
  Array.from({ length: HOSTS }, (_, host) =>
    newStoreWriter({
      clock,
      log: silentLog,
      store: new FaultyStore(clock, partition, [...(plan.faults[host] ?? [])], trace),
      topic: TOPIC,
      producer: `host-${host}`,
    }),
  );

/** Plays a plan to its end and checks each write when it settles and after the last late append. */
const play = async (plan: Plan) => {
  const clock = newManualClock();
  const partition = newPartition();
  const trace: string[] = [];
  const hosts = newHosts(clock, partition, plan, trace);
  const violations: string[] = [];
  const settled = new Map<string, { bodies: string[]; placed: Placed }>();
  const check = (name: string, when: string): void => {
    const { bodies, placed } = settled.get(name) ?? { bodies: [], placed: null };
    const found = placed ? contradiction(partition.log, bodies, placed) : 'never settled';
    if (found !== null) violations.push(`${name} ${when}: ${found}`);
  };
  const begin = ({ host, records, patienceMs }: PlannedWrite, name: string): void => {
    const bodies = Array.from({ length: records }, (_, index) => `${name}.${index}`);
    const deadline = clock.now() + patienceMs;
    trace.push(`${clock.now()} host-${host} is given [${bodies.join(' ')}] until ${deadline}`);
    const buffers = bodies.map((body) => Buffer.from(body));
    hosts[host]?.place(buffers, deadline).then((placed) => {
      trace.push(`${clock.now()} ${name} is told ${JSON.stringify(placed)}`);
      settled.set(name, { bodies, placed });
      check(name, 'when told');
    });
  };
  const names = plan.writes.map((_, index) => `w${index}`);
  for (const [index, write] of plan.writes.entries()) {
    if (write.afterMs > 0) await clock.advance(write.afterMs);
    begin(write, `w${index}`);
  }
  await clock.advance(AFTERMATH_MS);
  names.forEach((name) => check(name, 'at the end'));
  const copies = partition.log.map(
    (body) => partition.log.filter((other) => other === body).length,
  );
  const outcomes = [...settled.values()].map(({ placed: { outcome, offset } }) =>
    outcome === 'written' && offset === null ? 'written, no place' : outcome,
  );
  return { violations, trace, copies: Math.max(0, ...copies), outcomes };
};

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

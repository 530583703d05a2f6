import { newManualClock, settle } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { WorkClass } from '../src/workClasses.js';
import { silentLog } from './helpers.js';
import { newPlainHosts, repeat, SLOTS } from './newPlainHosts.js';

const isAnswered = ({ outcome }: { outcome: { type: string } }): boolean =>
  outcome.type === 'answer';

const newLineCollector = () => {
  const lines: { event: string; fields: Record<string, unknown> }[] = [];
  return {
    lines,
    info: (event: string, fields: Record<string, unknown> = {}): void => {
      lines.push({ event, fields });
    },
  };
};

test('where places are free every request starts at once', async (t) => {
  // Guards against an admission that delays requests though nothing is scarce.
  const clock = newManualClock();
  const host = newPlainHosts(clock, 2).newHost('a');
  const calls = repeat(clock, 5, clock.now() + 500, () =>
    host.call({ customer: 'museum', workMs: 25, timeoutMs: 30 }),
  );
  await clock.advance(600);
  const results = await calls;
  t.true(results.every(isAnswered));
  t.true(results.every(({ tookMs }) => tookMs === 25));
  t.false(host.metrics.text().includes('admission_wait_'));
});

test('a customer whose requests take longest gets its share of the time', async (t) => {
  // Guards against long requests that wait behind ever more short ones, and against long ones that
  // take the time of the short ones.
  const clock = newManualClock();
  const host = newPlainHosts(clock, 1).newHost('a');
  const until = clock.now() + 3_000;
  const send = (customer: string, workMs: number, intervalMs: number) =>
    repeat(clock, intervalMs, until, () =>
      host.call({ customer, workMs, timeoutMs: until - clock.now() }),
    );
  const long = send('long', 200, 25);
  const short = send('short', 25, 3);
  await clock.advance(4_000);
  const longTime = (await long).filter(isAnswered).length * 200;
  const shortTime = (await short).filter(isAnswered).length * 25;
  t.true(longTime > 0.5 * shortTime && shortTime > 0.5 * longTime, `${longTime} ${shortTime}`);
});

test('no class of work gets less than a quarter of the mean', async (t) => {
  // Guards against urgent requests that leave nothing to others, scoring calls included.
  const clock = newManualClock();
  const host = newPlainHosts(clock, 4).newHost('a');
  const until = clock.now() + 2_000;
  const counts = new Map<string, number>();
  const note = (name: string) => counts.set(name, (counts.get(name) ?? 0) + 1);
  const classes: WorkClass[] = ['urgent', 'usual', 'later'];
  const calls = classes.map((workClass) =>
    repeat(clock, 1.5, until, async () => {
      const result = await host.call({ customer: 'museum', workMs: 25, workClass });
      if (isAnswered(result) && clock.now() <= until) note(workClass);
    }),
  );
  const leave = new AbortController();
  const scores = Array.from({ length: 500 }, async () => {
    const call = { customer: 'trainer', workMs: 25, signal: leave.signal };
    const outcome = await host.score(call);
    if (outcome.ok && clock.now() <= until) note('background');
  });
  await clock.advance(2_000);
  leave.abort();
  await clock.advance(12_000);
  await Promise.all([...calls, ...scores]);
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
  [...classes, 'background'].forEach((name) => {
    t.true((counts.get(name) ?? 0) >= total / 4 / 4, `${name} ${counts.get(name)} of ${total}`);
  });
});

test('what cannot be done in its time is refused at once, and returns are spread', async (t) => {
  // Guards against a caller that is held until its deadline, and against refused callers that all
  // return at the same moment.
  const clock = newManualClock();
  const host = newPlainHosts(clock, 1).newHost('a');
  const queued = Array.from({ length: 60 }, () => host.call({ customer: 'museum', workMs: 50 }));
  await settle();
  const refused = Array.from({ length: 20 }, () =>
    host.call({ customer: 'museum', workMs: 50, timeoutMs: 200 }),
  );
  await settle();
  const results = await Promise.all(refused);
  t.true(results.every(({ tookMs }) => tookMs === 0));
  const returns = results.map(({ outcome }) =>
    outcome.type === 'refusal' && outcome.refusal.status === 503 && !outcome.hasRun
      ? (outcome.refusal.retryAfterMs ?? 0)
      : 0,
  );
  t.true(returns[0]! > 400);
  returns.slice(1).forEach((at, index) => {
    t.true(at > returns[index]!, 'who was refused first returns first');
  });
  // Six slots of 50 ms: a place each 8 ms.
  t.true(returns.at(-1)! - returns[0]! >= 19 * 4);
  await clock.advance(2_000);
  t.true((await Promise.all(queued)).every(isAnswered));
});

test('a refused request has not run, and one that ran is not refused', async (t) => {
  // Guards against a request that starts after its refusal was sent.
  const clock = newManualClock();
  const system = newPlainHosts(clock, 1);
  const host = system.newHost('a');
  const calls = repeat(clock, 2, clock.now() + 1_500, () =>
    host.call({ customer: 'museum', workMs: 40, timeoutMs: 160 }),
  );
  await clock.advance(3_000);
  const results = await calls;
  const answered = results.filter(isAnswered).length;
  t.true(results.every(({ outcome }) => outcome.type === 'answer' || !outcome.hasRun));
  t.is(system.countServed(), answered);
  t.true(answered > 0 && answered < results.length);
});

test('a caller that leaves while it waits is removed and never sent', async (t) => {
  // Guards against work for callers that have gone.
  const clock = newManualClock();
  const system = newPlainHosts(clock, 1);
  const host = system.newHost('a');
  const running = Array.from({ length: SLOTS }, () =>
    host.call({ customer: 'museum', workMs: 50 }),
  );
  const leave = new AbortController();
  const waiting = host.call({ customer: 'airport', workMs: 50, signal: leave.signal });
  await clock.advance(20);
  leave.abort();
  const { outcome, tookMs } = await waiting;
  t.is(tookMs, 20);
  t.true(outcome.type === 'refusal' && !outcome.hasRun);
  t.deepEqual(
    host.admissions.describe().flatMap((service) => service.waiting),
    [],
  );
  await clock.advance(200);
  await Promise.all(running);
  t.is(system.countServed(), SLOTS);
});

test('shares that change under load hold for what waits', async (t) => {
  // Guards against weights that count only after a restart.
  const clock = newManualClock();
  const system = newPlainHosts(clock, 1, { customerShares: { one: 1, two: 1 } });
  const host = system.newHost('a');
  const counts = { one: 0, two: 0 };
  const send = (customer: 'one' | 'two') =>
    Array.from({ length: 300 }, async () => {
      const result = await host.call({ customer, workMs: 25 });
      if (isAnswered(result)) counts[customer] += 1;
    });
  const calls = [...send('one'), ...send('two')];
  await clock.advance(500);
  t.true(Math.abs(counts.one - counts.two) <= 0.2 * counts.one, JSON.stringify(counts));
  system.putShares({ one: 3, two: 1 });
  const before = { ...counts };
  await clock.advance(500);
  const [one, two] = [counts.one - before.one, counts.two - before.two];
  t.true(one >= 2 * two && one <= 4 * two, `${one} ${two}`);
  await clock.advance(5_000);
  await Promise.all(calls);
});

test('a refusal and a queued start are explained by request id, in a bounded number of lines', async (t) => {
  // Guards against an operator who can't say why a request was refused, and against a log that costs
  // more than the requests.
  const clock = newManualClock();
  const { info, lines } = newLineCollector();
  const host = newPlainHosts(clock, 1, { log: { ...silentLog, info } }).newHost('a');
  const calls = Array.from({ length: 100 }, () =>
    host.call({ customer: 'museum', workMs: 50, timeoutMs: 300 }),
  );
  await settle();
  const [service] = host.admissions.describe();
  t.is(service?.places, SLOTS);
  t.deepEqual(
    service?.waiting.map(({ customer, priority }) => `${customer} ${priority}`),
    ['museum urgent'],
  );
  t.is(service?.running[0]?.count, SLOTS);
  t.true((service?.classes[0]?.expectedWaitMs ?? 0) > 0);
  await clock.advance(500);
  const results = await Promise.all(calls);
  const refused = results.filter((result) => !isAnswered(result)).length;
  t.true(refused > 40);
  const counted = ['not_reachable', 'passed'].map((reason) =>
    host.metrics.readCounter(`admission_refused_deadline_${reason}`),
  );
  t.is(counted[0]! + counted[1]!, refused);
  t.true(lines.length <= 20);
  const refusal = lines.find(({ event }) => event === 'admission.refused');
  t.like(refusal?.fields, { requestId: 'r1', code: 'deadline-not-reachable', places: SLOTS });
  t.true(Number(refusal?.fields.waitingAhead) > 0);
  t.true(Number(refusal?.fields.expectedWaitMs) > 0);
  t.true('reportAgeMs' in (refusal?.fields ?? {}));
  t.true(host.metrics.text().includes('admission_waiting{service="portal",class="urgent"} 0'));
});

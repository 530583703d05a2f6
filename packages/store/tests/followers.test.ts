import { Err, Ok } from '@cyclamengate/common/outcome';
import newSystemClock from '@cyclamengate/common/newSystemClock';
import newMetrics from '@cyclamengate/common/newMetrics';
import newOddValues from '@cyclamengate/common/newOddValues';
import test from 'ava';
import newKeyedFollower from '../src/newKeyedFollower.js';
import newMemoryStore, { encodeKeyedBody, newNoFaults } from '../src/newMemoryStore.js';
import newTopicFollower from '../src/newTopicFollower.js';
import type Store from '../src/Store.js';
import silentLog from './silentLog.js';

const clock = newSystemClock();
const TEST_TIMEOUT_MS = 20_000;

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
  while (!isTrue()) await clock.sleepUntil(clock.now() + 5);
};

test('catchUp succeeds only after the view holds all records that existed when it was called', async (t) => {
  // Another host has just accepted a batch that this host has not read yet. If this host answered
  // "no such batch" from its lagging view, the trainer would consider the batch lost.
  const memory = newMemoryStore();
  const applied: string[] = [];
  const follower = newTopicFollower({
    clock,
    log: silentLog,
    store: memory.newView(),
    topic: 'batches',
    readIntervalMs: () => 0,
    apply: (records) => records.forEach(({ body }) => applied.push(body.toString())),
  });
  memory.put('batches', [Buffer.from('a'), Buffer.from('b')]);
  t.true(await follower.catchUp(clock.now() + 1_000));
  t.deepEqual(applied, ['a', 'b']);
});

test('catchUp fails while the store refuses reads', async (t) => {
  // The store refuses this host, which must report that its view is incomplete, not that it is
  // empty.
  const faults = { ...newNoFaults(), isRefusing: true };
  const follower = newTopicFollower({
    clock,
    log: silentLog,
    store: newMemoryStore().newView(faults),
    topic: 'batches',
    readIntervalMs: () => 0,
    apply: () => {},
  });
  t.false(await follower.catchUp(clock.now() + 150));
});

test('a follower continues at the oldest retained record', async (t) => {
  // The store trims records that a host has not read yet; requesting them again would never
  // succeed.
  const memory = newMemoryStore();
  const applied: string[] = [];
  memory.put(
    'batches',
    ['a', 'b', 'c'].map((text) => Buffer.from(text)),
  );
  memory.trim('batches', 2);
  const follower = newTopicFollower({
    clock,
    log: silentLog,
    store: memory.newView(),
    topic: 'batches',
    readIntervalMs: () => 0,
    apply: (records) => records.forEach(({ body }) => applied.push(body.toString())),
  });
  t.true(await follower.catchUp(clock.now() + 1_000));
  t.deepEqual(applied, ['c']);
});

test('a key whose deletion record was trimmed is reported as dropped', async (t) => {
  // An engine leaves, and the record that deletes its key is trimmed before this host reads it.
  // Only the snapshot shows that the key was deleted; a host that missed it would send the engine
  // requests forever.
  const memory = newMemoryStore();
  const known = new Map<string, string>();
  const stop = new AbortController();
  const follower = newKeyedFollower({
    clock,
    log: silentLog,
    store: memory.newView(),
    topic: 'keyed.servers',
    oddValues: newOddValues(clock, silentLog, newMetrics()),
    source: 'upstreams',
    readIntervalMs: () => 0,
    readWaitMs: () => 500,
    apply: ({ key, value }) => {
      if (value === null) known.delete(key);
      else known.set(key, value.toString());
    },
  });
  memory.put('keyed.servers', [encodeKeyedBody('one', '1'), encodeKeyedBody('two', '2')]);
  const running = follower.run(stop.signal);
  await waitUntil(() => known.size === 2);
  memory.put('keyed.servers', [encodeKeyedBody('one', ''), encodeKeyedBody('three', '3')]);
  // Both records are trimmed before the follower can read them.
  memory.trim('keyed.servers', 3);
  await waitUntil(() => known.has('three') && !known.has('one') && !known.has('two'));
  t.deepEqual([...known.keys()], ['three']);
  stop.abort();
  await running;
});

test('a record whose value breaks the code that applies it costs itself alone', async (t) => {
  // Guards against one record of another program that ends a host, or stops it from following a topic.
  const memory = newMemoryStore();
  const known = new Set<string>();
  const stop = new AbortController();
  const metrics = newMetrics();
  const follower = newKeyedFollower({
    clock,
    log: silentLog,
    store: memory.newView(),
    topic: 'keyed.servers',
    oddValues: newOddValues(clock, silentLog, metrics),
    source: 'upstreams',
    readIntervalMs: () => 0,
    readWaitMs: () => 500,
    apply: ({ key }) => {
      if (key.startsWith('odd')) throw new RangeError('too deep');
      known.add(key);
    },
  });
  const put = (...keys: string[]): number =>
    memory.put(
      'keyed.servers',
      keys.map((key) => encodeKeyedBody(key, '1')),
    );
  put('one', 'odd-snapshot', 'two');
  const running = follower.run(stop.signal);
  await waitUntil(() => known.size === 2);
  put('odd-tail', 'three');
  await waitUntil(() => known.size === 3);
  stop.abort();
  await running;
  t.deepEqual([...known].sort(), ['one', 'three', 'two']);
  t.is(metrics.readCounter('values_broken_of_upstreams'), 2);
});

test('a follower reads smaller pages when full pages time out', async (t) => {
  // Seventy hosts start at once and read the same topic from its beginning. Pages of one mebibyte
  // take longer than the timeout of a call, so each host would request the same page forever.
  const memory = newMemoryStore();
  const view = memory.newView();
  const requestedKb: number[] = [];
  const store = Object.assign(Object.create(view) as typeof view, {
    read: async (...args: Parameters<typeof view.read>) => {
      const [topic, from, , , maxKb = 1_024] = args;
      requestedKb.push(maxKb);
      if (maxKb > 512) return Err({ type: 'unknown' as const, reason: 'silent' });
      const page = await view.read(topic, from, 0);
      if (page.ok) page.val.records = page.val.records.slice(0, maxKb / 64);
      return page;
    },
  });
  let count = 0;
  const follower = newTopicFollower({
    clock,
    log: silentLog,
    store,
    topic: 'batches',
    readIntervalMs: () => 0,
    apply: (records) => {
      count += records.length;
    },
  });
  memory.put(
    'batches',
    Array.from({ length: 200 }, () => Buffer.from('a')),
  );
  t.true(await follower.catchUp(clock.now() + 5_000));
  t.is(count, 200);
  t.true(Math.max(...requestedKb) > 512, 'larger pages are tried');
});

test('a follower records when the newest outage ended', async (t) => {
  // The store was unresponsive for all hosts. Hosts that recover first must not conclude that only
  // the remaining ones are partitioned.
  const memory = newMemoryStore();
  const faults = newNoFaults();
  const follower = newTopicFollower({
    clock,
    log: silentLog,
    store: memory.newView(faults),
    topic: 'batches',
    readIntervalMs: () => 0,
    apply: () => {},
  });
  t.is(follower.lastOutageEndedAt(), -Infinity);
  t.true(await follower.catchUp(clock.now() + 1_000));
  const first = follower.lastOutageEndedAt();
  await clock.sleepUntil(clock.now() + 300);
  t.true(await follower.catchUp(clock.now() + 1_000));
  t.is(follower.lastOutageEndedAt(), first, 'a short pause is not an outage');
  faults.isRefusing = true;
  await clock.sleepUntil(clock.now() + 1_300);
  faults.isRefusing = false;
  t.true(await follower.catchUp(clock.now() + 1_000));
  t.true(follower.lastOutageEndedAt() > first + 1_300);
});

/** A store of which the test changes the answers. */
const newOddStore = (changes: Partial<Store>) => {
  const memory = newMemoryStore();
  const sound = memory.newView();
  const store = Object.assign(memory.newView(), changes);
  return { memory, sound, store };
};

test('an odd first record that a store states is not where a follower goes on for good', async (t) => {
  // Guards against a host that reads no batch any more after one odd answer.
  t.timeout(TEST_TIMEOUT_MS);
  let oddAnswers = 1;
  const { memory, sound, store } = newOddStore({
    read: async (topic, from, ...rest) => {
      oddAnswers -= 1;
      if (oddAnswers >= 0) return Err({ type: 'expired', first: 9_000_000_000 });
      if (from > 3) return Err({ type: 'unknown', reason: 'unreadable' });
      return sound.read(topic, from, ...rest);
    },
  });
  memory.put(
    'batches',
    ['a', 'b', 'c'].map((text) => Buffer.from(text)),
  );
  const applied: string[] = [];
  const follower = newTopicFollower({
    clock,
    log: silentLog,
    store,
    topic: 'batches',
    apply: (records) => records.forEach(({ body }) => applied.push(body.toString())),
  });
  t.true(await follower.catchUp(clock.now() + 5_000));
  t.deepEqual(applied, ['a', 'b', 'c']);
});

test('a store that has records and returns none is asked again after a pause', async (t) => {
  // Guards against a host that asks as often as the store answers.
  let calls = 0;
  const { store } = newOddStore({
    read: async () => {
      calls += 1;
      return Ok({ end: 5, first: 0, records: [] });
    },
  });
  const stop = new AbortController();
  const follower = newTopicFollower({
    clock,
    log: silentLog,
    store,
    topic: 'batches',
    apply: () => {},
  });
  const running = follower.run(stop.signal);
  await clock.sleepUntil(clock.now() + 500);
  stop.abort();
  await running;
  t.true(calls < 20, `${calls} calls`);
});

test('an odd end of a snapshot is not where a follower goes on for good', async (t) => {
  // Guards against a host that learns of no engine and no settings any more after one odd answer, and
  // against a record that is no keyed one.
  t.timeout(TEST_TIMEOUT_MS);
  let oddAnswers = 1;
  const { memory, sound, store } = newOddStore({
    newest: async (topic) => {
      oddAnswers -= 1;
      const snapshot = await sound.newest(topic);
      return snapshot.ok && oddAnswers >= 0
        ? Ok({ ...snapshot.val, end: 9_000_000_000 })
        : snapshot;
    },
    read: async (topic, from, ...rest) =>
      from > 100
        ? Err({ type: 'unknown', reason: 'unreadable' })
        : sound.read(topic, from, ...rest),
  });
  const known = new Map<string, string | null>();
  const metrics = newMetrics();
  const stop = new AbortController();
  memory.put('keyed.servers', [encodeKeyedBody('one', '1')]);
  const follower = newKeyedFollower({
    clock,
    log: silentLog,
    store,
    topic: 'keyed.servers',
    oddValues: newOddValues(clock, silentLog, metrics),
    source: 'upstreams',
    readIntervalMs: () => 0,
    readWaitMs: () => 500,
    apply: ({ key, value }) => known.set(key, value?.toString() ?? null),
  });
  const running = follower.run(stop.signal);
  await waitUntil(() => known.has('one'));
  memory.put('keyed.servers', [
    encodeKeyedBody('two', '2'),
    Buffer.from('\u007fone'),
    Buffer.alloc(0),
    encodeKeyedBody('three', '3'),
  ]);
  await waitUntil(() => known.has('three'));
  t.deepEqual(
    [...known],
    [
      ['one', '1'],
      ['two', '2'],
      ['three', '3'],
    ],
  );
  stop.abort();
  await running;
});

test('a follower tells of a gap in its reads before it applies what was written meanwhile', async (t) => {
  // Guards against a deletion that is judged before it is known whether the store was away.
  const memory = newMemoryStore();
  const faults = newNoFaults();
  const calls: unknown[] = [];
  const stop = new AbortController();
  const follower = newKeyedFollower({
    clock,
    log: silentLog,
    store: memory.newView(faults),
    topic: 'keyed.servers',
    oddValues: newOddValues(clock, silentLog, newMetrics()),
    source: 'upstreams',
    readIntervalMs: () => 0,
    readWaitMs: () => 20,
    apply: ({ key, value }) => calls.push([key, value?.toString() ?? null]),
    onRecovered: ({ durationMs, mostWrites }) => calls.push([durationMs >= 100, mostWrites]),
  });
  const put = (key: string, value: string): number =>
    memory.put('keyed.servers', [encodeKeyedBody(key, value)]);
  put('one', '1');
  const running = follower.run(stop.signal);
  await waitUntil(() => calls.length === 1);
  // Read from the tail, which a follower that goes on there has read once.
  put('one', '2');
  await waitUntil(() => calls.length === 2);
  faults.isRefusing = true;
  await clock.sleepUntil(clock.now() + 150);
  put('two', '1');
  put('two', '2');
  put('one', '');
  faults.isRefusing = false;
  await waitUntil(() => calls.length === 6);
  stop.abort();
  await running;
  t.deepEqual(calls, [
    ['one', '1'],
    ['one', '2'],
    [true, 2],
    ['two', '1'],
    ['two', '2'],
    ['one', null],
  ]);
});

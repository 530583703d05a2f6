import test from 'ava';
import newMemoryBudget from '../src/newMemoryBudget.js';
import newMetrics from '../src/newMetrics.js';

const MB = 1_000_000;
const LIMIT_BYTES = 100 * MB;

const newParts = () => {
  const time = { now: 0 };
  const lines: string[] = [];
  const metrics = newMetrics();
  const collections = { count: 0 };
  const log = (event: string): void => {
    lines.push(event);
  };
  const memory = newMemoryBudget({
    clock: { now: () => time.now, wallTime: () => time.now, sleepUntil: async () => {} },
    log: { info: log, warn: log, error: log },
    metrics,
    limits: { bodies: LIMIT_BYTES, metadata: 10 * MB, texts: 10 * MB },
    collect: () => {
      collections.count += 1;
    },
  });
  return { time, lines, metrics, collections, memory };
};

test('bodies that do not fit together are refused, logged and counted', (t) => {
  // Guards against bodies that are within the limit one by one and end the host together.
  const { lines, metrics, memory } = newParts();
  const first = memory.reserve('requests', 60 * MB);
  t.truthy(first);
  t.is(memory.reserve('batches', 60 * MB), null);
  t.deepEqual(lines, ['memory.refused']);
  t.is(metrics.readCounter('memory_refused_batches'), 1);
  t.regex(metrics.text(), /memory_held_bytes_requests 60000000/);
  first?.release();
  first?.release();
  t.is(memory.heldBytes('bodies'), 0);
  t.truthy(memory.reserve('batches', 60 * MB));
});

test('small work finds room beside large bodies', (t) => {
  // Guards against large bodies that take all of the budget, so that every small request is refused.
  const { memory } = newParts();
  let large = 0;
  while (memory.reserve('requests', 5 * MB)) large += 1;
  t.true(large > 10);
  for (let small = 0; small < 100; small += 1) t.truthy(memory.reserve('requests', 10_000));
  t.true(memory.heldBytes('bodies') <= LIMIT_BYTES);
});

test('a lease that grows is bounded, and keeps its size if there is no room', (t) => {
  const { memory } = newParts();
  const lease = memory.hold('answers', 0);
  t.true(lease.grow(50 * MB));
  t.false(lease.grow(50 * MB));
  t.is(memory.heldBytes('bodies'), 50 * MB);
  t.true(lease.resize(10 * MB));
  lease.release();
  t.false(lease.grow(1));
  t.is(memory.heldBytes('bodies'), 0);
});

test('released bytes are lent again only once their memory is returned', (t) => {
  // Guards against a host that ends since the runtime has yet to free what was released.
  const { collections, memory } = newParts();
  for (let round = 0; round < 6; round += 1) memory.reserve('requests', 40 * MB)?.release();
  t.is(collections.count, 2);
  memory.reserve('requests', 1_000)?.release();
  t.is(collections.count, 2);
});

test('whoever is refused is told to come back after the time for which bodies are held', (t) => {
  // Guards against callers that come back at once, again and again, or far too late.
  const { time, memory } = newParts();
  for (let round = 0; round < 40; round += 1) {
    const lease = memory.reserve('requests', MB);
    time.now += 400;
    lease?.release();
  }
  t.true(Math.abs(memory.retryAfterMs() - 400) < 20);
});

test('what is known of batches leaves room for bodies, and is refused by its own limit', (t) => {
  // Guards against metadata that lasts for minutes and keeps all other work out.
  const { lines, metrics, memory } = newParts();
  const known = memory.hold('metadata', 9 * MB);
  t.truthy(memory.reserve('requests', 80 * MB));
  t.false(memory.hold('metadata', 0).grow(2 * MB));
  t.deepEqual(lines, ['memory.refused']);
  t.is(metrics.readCounter('memory_refused_metadata'), 1);
  known.add(3 * MB);
  t.is(memory.heldBytes('metadata'), 12 * MB);
  t.regex(metrics.text(), /memory_held_bytes_of_metadata 12000000/);
  t.regex(metrics.text(), /memory_limit_bytes_of_metadata 10000000/);
  known.release();
  t.is(memory.heldBytes('metadata'), 0);
});

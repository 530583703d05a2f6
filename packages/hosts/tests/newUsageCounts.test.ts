import test from 'ava';
import newUsageCounts from '../src/newUsageCounts.js';

const NOW = 1_000;
const INCARNATIONS = 5_000;

const newCounts = () => {
  const clock = { window: NOW };
  return { clock, usage: newUsageCounts(() => clock.window) };
};

test('a window of another time drops no window of now', (t) => {
  // Guards against usage that is not billed: one record that names a window of the far future would
  // make all windows look old.
  const { clock, usage } = newCounts();
  usage.applyHeartbeat({ incarnation: 'a', usage: { [NOW]: { museum: 2 } } });
  usage.applyClose(NOW - 1, { museum: 1 });
  [0, 5, NOW - 100, NOW + 3, 99_999_999_999].forEach((window) => {
    usage.applyHeartbeat({ incarnation: 'odd', usage: { [window]: { museum: 7 } } });
    usage.applyClose(window, { museum: 7 });
    usage.applyReported(window);
    t.false(usage.isClosed(window));
    t.deepEqual(usage.sum(window), {});
  });
  t.deepEqual(usage.sum(NOW), { museum: 2 });
  t.deepEqual(usage.oldestUnreported(), { window: NOW - 1, counts: { museum: 1 } });
  clock.window += 25;
  usage.applyHeartbeat({ incarnation: 'a', usage: { [NOW + 25]: {} } });
  t.deepEqual(usage.sum(NOW), {}, 'too old to be reported');
});

test('a window that is closed before its end is reported after it, and hides none before it', (t) => {
  // Guards against windows of an outage that nobody closes, since a newer one looks closed.
  const { clock, usage } = newCounts();
  usage.applyClose(NOW + 1, { museum: 3 });
  t.is(usage.newestClosed(), null);
  t.is(usage.oldestUnreported(), null);
  clock.window += 2;
  t.is(usage.newestClosed(), NOW + 1);
  t.is(usage.oldestUnreported()?.window, NOW + 1);
});

test('hosts that do not exist leave the counts of those that do, and have a bound', (t) => {
  // Guards against a host that runs out of memory by heartbeats with ever new names.
  const { usage } = newCounts();
  usage.applyHeartbeat({ incarnation: 'a', usage: { [NOW]: { museum: 2 } } });
  Array.from({ length: INCARNATIONS }).forEach((_, index) =>
    usage.applyHeartbeat({ incarnation: `odd-${index}`, usage: { [NOW]: { none: 1 } } }),
  );
  usage.applyHeartbeat({ incarnation: 'a', usage: { [NOW]: { museum: 3, constructor: 1 } } });
  const { museum, constructor, none = 0 } = usage.sum(NOW);
  t.deepEqual({ museum, constructor }, { museum: 3, constructor: 1 });
  t.true(none < INCARNATIONS);
});

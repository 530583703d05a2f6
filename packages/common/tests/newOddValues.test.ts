import test from 'ava';
import type Clock from '../src/Clock.js';
import type { EventFields } from '../src/newEventLog.js';
import newMetrics from '../src/newMetrics.js';
import newOddValues from '../src/newOddValues.js';

const newReports = () => {
  let now = 0;
  const lines: (EventFields & { event: string })[] = [];
  const write = (event: string, fields: EventFields = {}): void => {
    lines.push({ ...fields, event });
  };
  const metrics = newMetrics();
  const clock = { now: () => now } as Clock;
  const oddValues = newOddValues(clock, { info: write, warn: write, error: write }, metrics);
  const advance = (durationMs: number): void => {
    now += durationMs;
  };
  return { oddValues, lines, metrics, advance };
};

test('an odd value that comes again and again has few lines, and all are counted', (t) => {
  // Guards against a log that one other program fills.
  const { oddValues, lines, metrics, advance } = newReports();
  const reject = (): void =>
    oddValues.reject('upstreams', 'upstream.unreadable', { upstream: 'i' });
  Array.from({ length: 1_000 }).forEach(reject);
  t.is(lines.length, 10);
  t.is(metrics.readCounter('values_unreadable_of_upstreams'), 1_000);
  oddValues.reject('crashes', 'record.unreadable', {});
  t.is(lines.length, 11, 'each source has its own lines');
  advance(10_000);
  reject();
  t.is(lines.at(-1)?.leftOut, 990);
});

test('an error that a value brings about costs this value alone', (t) => {
  // Guards against one value of another program that ends the process or its reader.
  const { oddValues, lines, metrics } = newReports();
  const applied: number[] = [];
  [1, 2, 3].forEach((value) =>
    oddValues.apply('coordination', { value }, () => {
      if (value === 2) throw new RangeError('too much');
      applied.push(value);
    }),
  );
  t.deepEqual(applied, [1, 3]);
  t.is(metrics.readCounter('values_broken_of_coordination'), 1);
  t.is(lines[0]?.event, 'value.broken');
  t.regex(String(lines[0]?.error), /too much/);
});

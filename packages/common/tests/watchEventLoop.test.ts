import test from 'ava';
import type Clock from '../src/Clock.js';
import type { EventFields } from '../src/newEventLog.js';
import newMetrics from '../src/newMetrics.js';
import watchEventLoop from '../src/watchEventLoop.js';

test('a process that stood still says so, and for how long', async (t) => {
  // Guards against late answers whose cause, a held event loop, shows nowhere.
  let now = 0;
  const lateBy = [0, 20, 1_700, 0];
  const stop = new AbortController();
  const lines: (EventFields & { event: string })[] = [];
  const log = {
    info: () => {},
    error: () => {},
    warn: (event: string, fields: EventFields = {}) => {
      lines.push({ ...fields, event });
    },
  };
  const clock = {
    now: () => now,
    sleepUntil: async (at: number) => {
      now = at + (lateBy.shift() ?? 0);
      if (lateBy.length === 0) stop.abort();
    },
  } as unknown as Clock;
  const metrics = newMetrics();
  await watchEventLoop({ clock, log, metrics }, stop.signal);
  t.deepEqual(lines, [{ event: 'process.stalled', heldMs: 1_700 }]);
  t.regex(metrics.text(), /event_loop_held_microseconds_count 4/);
});

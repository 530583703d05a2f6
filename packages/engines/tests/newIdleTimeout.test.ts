import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newIdleTimeout from '../src/newIdleTimeout.js';

const newFixture = () => {
  const clock = newManualClock();
  const run = new AbortController();
  const { signal } = run;
  const timeout = newIdleTimeout({ clock, signal, firstTimeoutMs: 2_500, timeoutMs: 1_200 });
  return { clock, run, timeout };
};

test('a host that could not run does not take the stream of an engine for silent', async (t) => {
  // Guards against a stream that is broken off on waking, although its chunks have arrived meanwhile.
  const { clock, timeout } = newFixture();
  await clock.advance(100);
  timeout.reset();
  clock.jump(3_000);
  await clock.advance(1);
  timeout.reset();
  await clock.advance(1_100);
  t.false(timeout.signal.aborted);
  await clock.advance(100);
  t.true(timeout.signal.aborted);
});

test('a stream that is still silent once a delayed host has caught up is broken off', async (t) => {
  // Guards against a host that, being delayed, waits for an engine that has ended.
  const { clock, timeout } = newFixture();
  clock.jump(3_000);
  await clock.advance(40);
  t.false(timeout.signal.aborted);
  await clock.advance(10);
  t.true(timeout.signal.aborted);
});

test('a stream may be silent for longer before its first chunk', async (t) => {
  const { clock, timeout } = newFixture();
  await clock.advance(2_499);
  t.false(timeout.signal.aborted);
  await clock.advance(1);
  t.true(timeout.signal.aborted);
});

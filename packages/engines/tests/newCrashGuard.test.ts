import { settle } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { UpstreamEntry } from '../src/upstreamEntry.js';
import newGuard, { broken, full, newAnswer, newRequest } from './newGuard.js';

test('a request that ended two upstreams is not sent to a third', async (t) => {
  // Guards against one request that takes down all upstreams of a service.
  const { state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  t.false(isHeld(await run(0)));
  t.false(isHeld(await run(1)));
  t.true(isHeld(await run(2)));
  t.is(state.sent, 2);
  t.false(isHeld(await run(2, 'another')));
});

test('an answer that is broken off as its upstream ends counts as a crash', async (t) => {
  const { state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  state.outcome = () => newAnswer(true);
  await run(0);
  await run(1);
  t.true(isHeld(await run(2)));
});

test('lost answers and reset connections hold no request back', async (t) => {
  // Guards against innocent requests that are refused while answers are lost or connections reset.
  const { state, run, isHeld } = newGuard();
  for (let count = 0; count < 6; count += 1) t.false(isHeld(await run(count % 3)));
  state.outcome = () => newAnswer(true);
  for (let count = 0; count < 6; count += 1) t.false(isHeld(await run(count % 3)));
});

test('upstreams that end while they are leaving hold no request back', async (t) => {
  // Guards against innocent requests that are refused while upstreams are replaced or reclaimed.
  const { directory, entries, state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b', 'c']);
  entries.forEach((entry) => directory.put({ ...entry, isDraining: true }));
  await run(0);
  await run(1);
  directory.remove('c');
  await run(2);
  t.false(isHeld(await run(0)));
});

test('an upstream that is started again at once counts as crashed', async (t) => {
  // Guards against a supervisor that is faster than the probe: its upstream accepts connections.
  const { clock, directory, entries, run, isHeld } = newGuard();
  const [first, second, third] = entries as [UpstreamEntry, UpstreamEntry, UpstreamEntry];
  await run(0);
  await run(1);
  directory.put({ ...first, startedAt: 2 });
  directory.put({ ...second, id: 'successor' });
  t.true(isHeld(await run(2)));
  await run(2, 'another');
  await clock.advance(5_000);
  directory.put({ ...third, startedAt: 2 });
  t.false(isHeld(await run(0, 'another')));
});

test('a request that its caller leaves is not counted', async (t) => {
  const { state, signal, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  signal.abort();
  await run(0);
  await run(1);
  t.false(isHeld(await run(2)));
});

test('a silent upstream does not delay the next attempt by the probe', async (t) => {
  const { clock, guard, entries, history, state, signal } = newGuard();
  state.ended = new Set(['a']);
  const [first] = entries as [UpstreamEntry];
  const outcome = await guard.send(first, newRequest('x'), clock.now(), signal.signal);
  t.is(outcome, broken);
  await settle();
  // Its content and its path.
  t.is(history.size(), 2);
});

test('a held request that an upstream answers after its hold is released', async (t) => {
  const { clock, history, state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  await run(0);
  await run(1);
  await clock.advance(1_000);
  state.ended.delete('a');
  state.outcome = () => full;
  t.false(isHeld(await run(2)));
  state.outcome = () => newAnswer();
  t.false(isHeld(await run(2)));
  t.is(history.size(), 0);
});

import { settle } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { UpstreamEntry } from '../src/upstreamEntry.js';
import newGuard, { broken, full, newAnswer, newRequest } from './newGuard.js';
import type { Guard } from './newGuard.js';

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

const UPSTREAMS = ['a', 'b', 'c'];
const CRASHES = 9;
/** Within this time of calm an item has to be at an upstream. */
const CALM_MS = 5_000;
const POLL_MS = 50;
const GROUP_SIZE = 4;

/** Runs an item on upstreams that crash under it and are started again, as soon as it is not held. */
const crashUnderItem = async ({ clock, state, entries, directory, run, isHeld }: Guard) => {
  const runItem = (upstream: number) => run(upstream, 'sound', 'p1:600', '/rounds/1', 'item');
  for (let crash = 0; crash < CRASHES; crash += 1) {
    const index = crash % UPSTREAMS.length;
    state.ended = new Set(UPSTREAMS.slice(index, index + 1));
    while (isHeld(await runItem(index))) await clock.advance(POLL_MS);
    const entry = entries[index] as UpstreamEntry;
    entries[index] = { ...entry, startedAt: entry.startedAt + 1 };
    directory.put(entries[index]);
  }
  state.ended = new Set();
  return runItem;
};

test('an item under which many upstreams ended is sent again soon', async (t) => {
  // Guards against an item that is never placed again, since upstreams that crashed for other reasons
  // did so while they ran it.
  const guard = newGuard();
  const runItem = await crashUnderItem(guard);
  await guard.clock.advance(CALM_MS);
  t.false(guard.isHeld(await runItem(0)));
  t.is(guard.history.upstreamsOf(guard.history.newest(1)[0]?.digest ?? '').length, CRASHES);
});

test('all items of a group under which upstreams ended are sent again soon', async (t) => {
  // Guards against items that wait for each other, one hold each, since they share their prompt.
  const guard = newGuard();
  const runItem = await crashUnderItem(guard);
  const { clock, isHeld } = guard;
  const startedAt = clock.now();
  for (let started = 0; started < GROUP_SIZE && clock.now() <= startedAt + CALM_MS;) {
    if (isHeld(await runItem(2))) await clock.advance(POLL_MS);
    else started += 1;
  }
  t.true(clock.now() < startedAt + CALM_MS);
});

test('an item is not held for another one of its path, nor kept from the last upstream', async (t) => {
  // Guards against items that wait for upstreams that do not come back.
  const { state, run, isHeld } = newGuard();
  const runItem = (upstream: number, prompt: string) =>
    run(upstream, 'sound', prompt, '/rounds/1', 'item');
  state.ended = new Set(['a', 'b']);
  await runItem(0, 'p1');
  t.false(isHeld(await runItem(2, 'p1')));
  await runItem(1, 'p2');
  await runItem(0, 'p3');
  t.false(isHeld(await runItem(2, 'p4')));
});

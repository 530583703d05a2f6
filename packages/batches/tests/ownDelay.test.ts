import sleepWhileResponsive from '@cyclamengate/common/sleepWhileResponsive';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';

const newWait = (durationMs: number) => {
  const clock = newManualClock();
  const ended = new AbortController();
  const state = { isOver: false };
  const wait = sleepWhileResponsive(clock, durationMs, ended.signal).then(() => {
    state.isOver = true;
  });
  return { clock, ended, state, wait };
};

test('a host that was suspended does not take the hosts that it called for late', async (t) => {
  // Guards against a call that times out on waking, although its answer has arrived meanwhile.
  const { clock, state } = newWait(150);
  await clock.advance(50);
  clock.jump(3_000);
  await clock.advance(80);
  t.false(state.isOver);
  await clock.advance(20);
  t.true(state.isOver);
});

test('a wait for other hosts takes its time on a host that is not delayed', async (t) => {
  const { clock, state } = newWait(150);
  await clock.advance(149);
  t.false(state.isOver);
  await clock.advance(1);
  t.true(state.isOver);
});

test('a wait for other hosts ends once the call has ended', async (t) => {
  const { ended, wait, state } = newWait(150);
  ended.abort();
  await wait;
  t.true(state.isOver);
});

import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newOwnership from '../src/newOwnership.js';

const newParts = () => {
  const clock = newManualClock();
  const view = { live: ['a', 'b'], isFresh: true };
  const owns = newOwnership({
    clock,
    host: 'a',
    rank: () => view.live,
    isFresh: () => view.isFresh,
  });
  return { clock, view, owns };
};

test('a host goes on with what it owns while the store is away for all', async (t) => {
  // The store is down for five seconds, so no host hears of any other. Items that are half done
  // would stand still meanwhile, and their step would be late.
  const { clock, view, owns } = newParts();
  t.true(owns('x'));
  view.isFresh = false;
  view.live = [];
  t.true(owns('x'));
  await clock.advance(5_000);
  t.true(owns('x'));
  view.isFresh = true;
  t.true(owns('x'), 'before the heartbeats are back');
  view.live = ['b'];
  t.true(owns('x'), 'while only another heartbeat is back');
  await clock.advance(400);
  view.live = ['a', 'b'];
  await clock.advance(600);
  t.true(owns('x'));
});

test('a host takes nothing new while it has no news', (t) => {
  const { view, owns } = newParts();
  view.isFresh = false;
  t.false(owns('x'));
});

test('a host that is cut off for long stops', async (t) => {
  // The others have long gone on with its items; its own work is in vain.
  const { clock, view, owns } = newParts();
  t.true(owns('x'));
  view.isFresh = false;
  t.true(owns('x'));
  await clock.advance(7_100);
  t.false(owns('x'));
});

test('after an outage the host that comes first by then goes on', async (t) => {
  const { clock, view, owns } = newParts();
  t.true(owns('x'));
  view.isFresh = false;
  t.true(owns('x'));
  await clock.advance(2_000);
  view.isFresh = true;
  view.live = ['b', 'a'];
  t.true(owns('x'));
  await clock.advance(1_000);
  t.false(owns('x'));
});

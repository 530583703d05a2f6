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

test('a host keeps what it owns while the store is unavailable to all hosts', async (t) => {
  // The store is down for five seconds, so hosts get no heartbeats of each other. If they dropped
  // their unfinished items, no host would run them and their step would be late.
  const { clock, view, owns } = newParts();
  t.true(owns('x'));
  view.isFresh = false;
  view.live = [];
  t.true(owns('x'));
  await clock.advance(5_000);
  t.true(owns('x'));
  view.isFresh = true;
  t.true(owns('x'), 'before heartbeats resume');
  view.live = ['b'];
  t.true(owns('x'), 'after the heartbeat of the other host only');
  await clock.advance(400);
  view.live = ['a', 'b'];
  await clock.advance(600);
  t.true(owns('x'));
});

test('a host takes no new subjects while its view is stale', (t) => {
  const { view, owns } = newParts();
  view.isFresh = false;
  t.false(owns('x'));
});

test('a host that stays partitioned from the store gives up what it owns', async (t) => {
  // Other hosts have taken over its items, so running them here as well is wasted work.
  const { clock, view, owns } = newParts();
  t.true(owns('x'));
  view.isFresh = false;
  t.true(owns('x'));
  await clock.advance(7_100);
  t.false(owns('x'));
});

test('after an outage the host that then ranks first takes over', async (t) => {
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

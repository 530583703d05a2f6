import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newHeartbeatOrder from '../src/newHeartbeatOrder.js';

test('a heartbeat that another host wrote late does not undo a newer one', (t) => {
  // A host recovers, and an older heartbeat that a peer wrote for it marks it as leaving. Other
  // hosts would then begin its batches as well.
  const { recordIfNewer } = newHeartbeatOrder(newManualClock());
  t.true(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 1 }));
  t.true(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 3 }));
  t.false(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 2 }));
  t.false(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 3 }), 'written by two hosts');
  t.true(recordIfNewer({ host: 'b', incarnation: 'run-2', number: 1 }));
});

test('a heartbeat of an earlier incarnation does not replace the current one', (t) => {
  // A host restarts, and a late heartbeat of its previous process would make it look replaced.
  const { recordIfNewer } = newHeartbeatOrder(newManualClock());
  t.true(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 9 }));
  t.true(recordIfNewer({ host: 'a', incarnation: 'run-2', number: 1 }));
  t.false(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 10 }));
  t.true(recordIfNewer({ host: 'a', incarnation: 'run-2', number: 2 }));
});

test('an earlier incarnation that goes on while its successor is silent was never replaced', async (t) => {
  // Another writer uses the name of a live host once; without this rule the host would stay dead for all
  // others. A late heartbeat of the real one's number or before changes nothing.
  const clock = newManualClock();
  const { recordIfNewer } = newHeartbeatOrder(clock);
  const beat = (incarnation: string, number: number): boolean =>
    recordIfNewer({ host: 'a', incarnation, number });
  t.true(beat('run-1', 9));
  t.true(beat('odd', 900));
  t.false(beat('run-1', 10), 'while the other may live');
  await clock.advance(4_999);
  t.false(beat('run-1', 20));
  await clock.advance(1);
  t.false(beat('run-1', 9), 'written late');
  t.true(beat('run-1', 21));
  t.false(beat('odd', 901));
  t.true(beat('run-1', 22));
  t.true(beat('run-2', 1), 'a restart');
  t.false(beat('run-1', 23));
});

import test from 'ava';
import newHeartbeatOrder from '../src/newHeartbeatOrder.js';

test('a heartbeat that another host wrote late does not undo a newer one', (t) => {
  // A host recovers, and an older heartbeat that a peer wrote for it marks it as leaving. Other
  // hosts would then begin its batches as well.
  const { recordIfNewer } = newHeartbeatOrder();
  t.true(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 1 }));
  t.true(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 3 }));
  t.false(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 2 }));
  t.false(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 3 }), 'written by two hosts');
  t.true(recordIfNewer({ host: 'b', incarnation: 'run-2', number: 1 }));
});

test('a heartbeat of an earlier incarnation does not replace the current one', (t) => {
  // A host restarts, and a late heartbeat of its previous process would make it look replaced.
  const { recordIfNewer } = newHeartbeatOrder();
  t.true(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 9 }));
  t.true(recordIfNewer({ host: 'a', incarnation: 'run-2', number: 1 }));
  t.false(recordIfNewer({ host: 'a', incarnation: 'run-1', number: 10 }));
  t.true(recordIfNewer({ host: 'a', incarnation: 'run-2', number: 2 }));
});

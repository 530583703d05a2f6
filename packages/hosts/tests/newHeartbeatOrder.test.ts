import test from 'ava';
import newHeartbeatOrder from '../src/newHeartbeatOrder.js';

test('a heartbeat that another host wrote late does not undo a newer one', (t) => {
  // Guards against a host that is back and counts as leaving: its batches are begun by others too.
  const { isNews } = newHeartbeatOrder();
  t.true(isNews({ host: 'a', incarnation: 'run-1', number: 1 }));
  t.true(isNews({ host: 'a', incarnation: 'run-1', number: 3 }));
  t.false(isNews({ host: 'a', incarnation: 'run-1', number: 2 }));
  t.false(isNews({ host: 'a', incarnation: 'run-1', number: 3 }), 'two wrote it');
  t.true(isNews({ host: 'b', incarnation: 'run-2', number: 1 }));
});

test('a heartbeat of an earlier run of a process does not bring that run back', (t) => {
  // Guards against a host that has been restarted and counts as gone.
  const { isNews } = newHeartbeatOrder();
  t.true(isNews({ host: 'a', incarnation: 'run-1', number: 9 }));
  t.true(isNews({ host: 'a', incarnation: 'run-2', number: 1 }));
  t.false(isNews({ host: 'a', incarnation: 'run-1', number: 10 }));
  t.true(isNews({ host: 'a', incarnation: 'run-2', number: 2 }));
});

import test from 'ava';
import chooseExecutor from '../src/chooseExecutor.js';
import type { ExecutorReply } from '../src/chooseExecutor.js';

const newReplies = (answers: Record<string, boolean | 'late' | 'gone'>): ExecutorReply[] =>
  Object.entries(answers).map(([host, answer]) => ({
    host,
    answer: typeof answer === 'boolean' ? { type: 'answer', value: answer } : { type: answer },
  }));

test('the first host that has not begun a batch is chosen, unless another host has begun it', (t) => {
  const none = newReplies({ a: false, b: false });
  t.deepEqual(chooseExecutor(none, null), { host: 'a', hasBegun: false });
  const second = newReplies({ a: false, b: true });
  t.deepEqual(chooseExecutor(second, null), { host: 'b', hasBegun: true });
});

test('a late host that was told to begin a batch keeps it', (t) => {
  // Guards against two hosts running a batch while the host that began it is suspended.
  const answers = newReplies({ a: false, b: 'late' });
  t.deepEqual(chooseExecutor(answers, 'b'), { host: 'b', hasBegun: true });
});

test('a host that restarted after it was told to begin a batch is told again', (t) => {
  // Guards against a step that no host runs, since all wait for a host that lost its state in a
  // restart.
  const answers = newReplies({ a: false, b: false });
  t.deepEqual(chooseExecutor(answers, 'b'), { host: 'b', hasBegun: false });
});

test('an unreachable host that was told to begin a batch is passed over', (t) => {
  // Guards against a step that no host runs, since the host that began it has lost power.
  const answers = newReplies({ a: 'late', b: 'gone', c: false });
  t.deepEqual(chooseExecutor(answers, 'b'), { host: 'c', hasBegun: false });
  t.is(chooseExecutor(newReplies({ a: 'gone', b: 'late' }), null), null);
});

import test from 'ava';
import chooseBeginner from '../src/chooseBeginner.js';
import type { BeginnerAnswer } from '../src/chooseBeginner.js';

const answersOf = (answers: Record<string, boolean | 'late' | 'gone'>): BeginnerAnswer[] =>
  Object.entries(answers).map(([host, answer]) => ({
    host,
    answer: typeof answer === 'boolean' ? { type: 'answer', value: answer } : { type: answer },
  }));

test('the first host that has not begun a batch is told to, unless another has', (t) => {
  const none = answersOf({ a: false, b: false });
  t.deepEqual(chooseBeginner(none, null), { host: 'a', hasBegun: false });
  const second = answersOf({ a: false, b: true });
  t.deepEqual(chooseBeginner(second, null), { host: 'b', hasBegun: true });
});

test('a host that was told to begin keeps the batch while it is late', (t) => {
  // Guards against a batch that two hosts run: the one that has begun it is suspended for a while.
  const answers = answersOf({ a: false, b: 'late' });
  t.deepEqual(chooseBeginner(answers, 'b'), { host: 'b', hasBegun: true });
});

test('a host that was told to begin and has been restarted is told again', (t) => {
  // Guards against a step that nobody runs: all wait for a host that knows nothing of it any more.
  const answers = answersOf({ a: false, b: false });
  t.deepEqual(chooseBeginner(answers, 'b'), { host: 'b', hasBegun: false });
});

test('a host that was told to begin and is gone is passed over', (t) => {
  // Guards against a step that nobody runs: the host that began it has lost power.
  const answers = answersOf({ a: 'late', b: 'gone', c: false });
  t.deepEqual(chooseBeginner(answers, 'b'), { host: 'c', hasBegun: false });
  t.is(chooseBeginner(answersOf({ a: 'gone', b: 'late' }), null), null);
});

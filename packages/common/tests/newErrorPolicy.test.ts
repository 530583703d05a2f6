import test from 'ava';
import newErrorPolicy from '../src/newErrorPolicy.js';

const newTestPolicy = () => {
  let time = 0;
  const policy = newErrorPolicy(() => time);
  return {
    react: (origin: Parameters<typeof policy.decide>[0]) => policy.decide(origin).reaction,
    decide: policy.decide,
    advance: (byMs: number): void => {
      time += byMs;
    },
  };
};

test('an error of one call or connection ends nothing', (t) => {
  const { react } = newTestPolicy();
  t.is(react('call'), 'continue');
  t.is(react('connection'), 'continue');
});

test('errors of single calls over a long time end nothing', (t) => {
  const { react, advance } = newTestPolicy();
  const reactions = Array.from({ length: 200 }, () => {
    advance(1_000);
    return react('call');
  });
  t.deepEqual(new Set(reactions), new Set(['continue']));
});

test('errors in series drain the process, and are reported up to a bound', (t) => {
  // Guards against a process that goes on although something that all its calls share is broken.
  const { decide } = newTestPolicy();
  const decisions = Array.from({ length: 100 }, () => decide('call'));
  const drains = decisions.filter(({ reaction }) => reaction === 'drain');
  t.is(drains.length, 1);
  t.true(decisions.every(({ reaction }) => reaction !== 'exit'));
  t.true(decisions.filter(({ isReported }) => isReported).length <= 30);
});

test('the error of a task drains the process, and the next one ends it', (t) => {
  const { react } = newTestPolicy();
  t.is(react('task'), 'drain');
  t.is(react('call'), 'continue');
  t.is(react('unknown'), 'exit');
});

test('an error of unknown origin drains the process', (t) => {
  t.is(newTestPolicy().react('unknown'), 'drain');
});

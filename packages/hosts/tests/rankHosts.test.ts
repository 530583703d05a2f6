import test from 'ava';
import newHostRanking from '../src/newHostRanking.js';
import rankHosts from '../src/rankHosts.js';

const strong = ['a', 'b', 'c'].map((host) => ({ host, cores: 1.35 }));
const weak = ['d', 'e', 'f', 'g', 'h', 'i'].map((host) => ({ host, cores: 0.324 }));
const subjects = Array.from({ length: 40 }, (_, index) => `batches/model-${index}`);

test('a step is never run by a weak host while there is a strong one', (t) => {
  // Two thirds of the hosts have a third of a core. A step of a hundred streams saturates such a
  // host and is late although its engines are half idle.
  subjects.forEach((subject) => {
    const [first] = rankHosts(subject, [...weak, ...strong]);
    t.true(['a', 'b', 'c'].includes(first ?? ''));
  });
});

test('models are spread over the strong hosts, and weak hosts rank after them', (t) => {
  const firsts = new Set(subjects.map((subject) => rankHosts(subject, [...strong, ...weak])[0]));
  t.is(firsts.size, 3);
  t.is(rankHosts('x', [...strong, ...weak]).length, 9);
  t.is(rankHosts('x', weak).length, 6);
});

test('the ranking does not depend on the order in which the hosts are given', (t) => {
  const hosts = [...strong, ...weak];
  t.deepEqual(rankHosts('x', hosts), rankHosts('x', [...hosts].reverse()));
});

test('losing a host moves only the subjects for which it ranked first', (t) => {
  const moved = subjects.filter((subject) => {
    const before = rankHosts(subject, strong)[0];
    return before !== 'a' && rankHosts(subject, strong.slice(1))[0] !== before;
  });
  t.deepEqual(moved, []);
});

test('a ranking that keeps weights is the same as one that computes them', (t) => {
  // Guards against hosts that disagree on owners because one of them has run for longer.
  const rank = newHostRanking();
  const hosts = [...strong, ...weak];
  const manySubjects = Array.from({ length: 250 }, (_, index) => `batches/${index}`);
  [...subjects, ...manySubjects, ...subjects].forEach((subject, index) => {
    const live = hosts.filter((_, position) => (position + index) % 4 > 0);
    t.deepEqual(rank(subject, live), rankHosts(subject, live));
  });
});

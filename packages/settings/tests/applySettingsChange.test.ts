import test from 'ava';
import applySettingsChange from '../src/applySettingsChange.js';
import type { SettingsTree } from '../src/settingsTree.js';

const key = (id: string, customer: string, digit: string) => ({
  id,
  customer,
  digest: digit.repeat(64),
});

const root = {
  operators: [
    { id: 'admin', paths: ['/'] },
    { id: 'eleni', paths: ['/workshop'] },
  ],
  services: [{ id: 'tone', type: 'model' }],
};

const newTree = (): SettingsTree => {
  const tree: SettingsTree = {};
  const first = { operator: 'admin', subtrees: [{ path: '/', basedOn: -1, subtree: root }] };
  applySettingsChange(tree, 0, first);
  return tree;
};

const change = (operator: string, path: string, basedOn: number, subtree: unknown) => ({
  operator,
  subtrees: [{ path, basedOn, subtree }],
});

// Two operators concurrently publish changes of the same subtree, based on the same revision. With
// last-writer-wins, the second change would silently overwrite the accepted first one.
test('of two racing changes one is accepted and the other rejected with the reason', (t) => {
  const tree = newTree();
  const customers = (share: number) => ({ customers: [{ id: 'players', share }] });
  const first = applySettingsChange(tree, 1, change('eleni', '/workshop', -1, customers(2)));
  const second = applySettingsChange(tree, 2, change('admin', '/workshop', -1, customers(9)));
  t.true(first.accepted);
  t.false(second.accepted);
  t.regex(second.reason, /changed by someone else: based on revision -1, now 1/);
  t.is(tree['/workshop']?.subtree?.customers[0]?.share, 2);
});

test('an operator changes only the subtrees granted to it', (t) => {
  const tree = newTree();
  t.false(applySettingsChange(tree, 1, change('eleni', '/', 0, root)).accepted);
  t.false(applySettingsChange(tree, 1, change('eleni', '/workshops', -1, {})).accepted);
  t.true(applySettingsChange(tree, 1, change('eleni', '/workshop/desk', -1, {})).accepted);
  t.false(applySettingsChange(tree, 2, change('stranger', '/workshop', -1, {})).accepted);
});

test('an operator cannot grant access outside its own subtree', (t) => {
  const grant = { operators: [{ id: 'nikos', paths: ['/'] }] };
  const decision = applySettingsChange(newTree(), 1, change('eleni', '/workshop', -1, grant));
  t.false(decision.accepted);
  t.regex(
    decision.reason,
    /operator nikos at \/workshop: found path \/; allowed: \/workshop or below/,
  );
});

test('one invalid subtree rejects the whole change, and every problem is listed', (t) => {
  const tree = newTree();
  const before = structuredClone(tree);
  const decision = applySettingsChange(tree, 1, {
    operator: 'admin',
    subtrees: [
      { path: '/workshop', basedOn: -1, subtree: { customers: [{ id: 'players' }] } },
      {
        path: '/desk',
        basedOn: -1,
        subtree: { customers: [{ id: 'Bad Name', share: -1 }], extra: 1 },
      },
    ],
  });
  t.false(decision.accepted);
  t.regex(decision.reason, /customers\.0\.id: found "Bad Name"/);
  t.regex(decision.reason, /customers\.0\.share: found -1/);
  t.regex(decision.reason, /extra/);
  t.deepEqual(tree, before);
});

test('a customer, key or service of one team cannot be redefined or used by another', (t) => {
  const tree = newTree();
  const workshop = { customers: [{ id: 'players' }], keys: [key('p', 'players', 'a')] };
  t.true(applySettingsChange(tree, 1, change('admin', '/workshop', -1, workshop)).accepted);
  const refused = [
    { customers: [{ id: 'players' }] },
    { keys: [key('q', 'players', 'b')] },
    { customers: [{ id: 'desk' }], keys: [key('q', 'desk', 'a')] },
    { trainers: [{ id: 't', customer: 'players', service: 'tone' }] },
  ];
  refused.forEach((subtree) =>
    t.false(applySettingsChange(tree, 2, change('admin', '/desk', -1, subtree)).accepted),
  );
});

// A change based on a subtree's old content arrives after the subtree was removed.
test('a late change does not restore a removed subtree', (t) => {
  const tree = newTree();
  const workshop = { customers: [{ id: 'players' }] };
  applySettingsChange(tree, 1, change('admin', '/workshop', -1, workshop));
  t.true(applySettingsChange(tree, 2, change('admin', '/workshop', 1, null)).accepted);
  t.false(applySettingsChange(tree, 3, change('admin', '/workshop', 1, workshop)).accepted);
  t.is(tree['/workshop']?.subtree, null);
});

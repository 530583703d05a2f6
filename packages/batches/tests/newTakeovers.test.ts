import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newTakeovers from '../src/newTakeovers.js';

const newParts = (isOwner: (subject: string) => boolean) => {
  const clock = newManualClock();
  const reads: (() => void)[] = [];
  const readParts = () =>
    new Promise<void>((resolve) => {
      reads.push(resolve);
    });
  return { reads, takeovers: newTakeovers({ clock, isOwner, readParts }) };
};

test("a host reads its predecessor's texts once before it begins", async (t) => {
  // The host that ran a batch dies after six seconds of a long text. Its successor begins at once
  // and makes the text anew from the first token: the step is late.
  const { reads, takeovers } = newParts(() => true);
  t.false(takeovers.mayBegin('x'));
  t.false(takeovers.mayBegin('x'));
  t.is(reads.length, 1);
  reads[0]?.();
  await new Promise(setImmediate);
  t.true(takeovers.mayBegin('x'));
});

test('a host that owned a subject, lost it and owns it again reads once more', async (t) => {
  // Another host went on in between; what this one remembers is older.
  let owns = true;
  const { reads, takeovers } = newParts(() => owns);
  takeovers.mayBegin('x');
  reads[0]?.();
  await new Promise(setImmediate);
  owns = false;
  takeovers.reconcile();
  t.false(takeovers.mayBegin('x'));
  owns = true;
  t.false(takeovers.mayBegin('x'));
  t.is(reads.length, 2);
});

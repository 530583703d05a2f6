import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newTakeovers from '../src/newTakeovers.js';
import { silentLog } from './helpers.js';

const newFixture = (isOwner: (subject: string) => boolean) => {
  const clock = newManualClock();
  const reads: (() => void)[] = [];
  const readParts = () =>
    new Promise<void>((resolve) => {
      reads.push(resolve);
    });
  return { reads, takeovers: newTakeovers({ clock, log: silentLog, isOwner, readParts }) };
};

test("a host reads the previous owner's texts once before it starts", async (t) => {
  // The host that ran a batch dies after generating a long text for six seconds. A successor that
  // starts at once generates the text again from the first token, and the step is late.
  const { reads, takeovers } = newFixture(() => true);
  t.false(takeovers.mayBegin('x', null));
  t.false(takeovers.mayBegin('x', null));
  t.is(reads.length, 1);
  reads[0]?.();
  await new Promise(setImmediate);
  t.true(takeovers.mayBegin('x', null));
});

test('a host that regains ownership of a subject reads the texts again', async (t) => {
  // Another host ran the items in between, so what this host has read is stale.
  let owns = true;
  const { reads, takeovers } = newFixture(() => owns);
  takeovers.mayBegin('x', null);
  reads[0]?.();
  await new Promise(setImmediate);
  owns = false;
  takeovers.reconcile();
  t.false(takeovers.mayBegin('x', null));
  owns = true;
  t.false(takeovers.mayBegin('x', null));
  t.is(reads.length, 2);
});

test('a takeover whose read fails by an error that no code expects is prepared anew', async (t) => {
  // Guards against items that never begin, since the host waits for a read that has failed.
  let isBroken = true;
  const takeovers = newTakeovers({
    clock: newManualClock(),
    log: silentLog,
    isOwner: () => true,
    readParts: async () => {
      if (isBroken) throw new Error('broken');
    },
  });
  t.false(takeovers.mayBegin('x', null));
  await new Promise(setImmediate);
  isBroken = false;
  t.false(takeovers.mayBegin('x', null));
  await new Promise(setImmediate);
  t.true(takeovers.mayBegin('x', null));
});

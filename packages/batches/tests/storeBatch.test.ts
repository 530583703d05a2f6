import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import test from 'ava';
import storeBatch from '../src/storeBatch.js';
import newBatches from '../src/newBatches.js';
import newPartialTexts from '../src/newPartialTexts.js';
import { newBatch, newItem } from './helpers.js';

/** Creates a host whose own write is not acknowledged before the deadline. */
const newHost = (outcome: WriteOutcome) => {
  const clock = newManualClock();
  const batches = newBatches({ clock, retentionMs: 120_000, parts: newPartialTexts(clock) });
  const write = async (_batch: unknown, deadline: number): Promise<WriteOutcome> => {
    await clock.sleepUntil(deadline);
    return outcome;
  };
  const batch = newBatch('b', [newItem('1')]);
  const pending = storeBatch({ clock, batches, write }, batch, clock.now() + 1_100);
  return { clock, batches, batch, pending };
};

test('a batch that another host has stored is accepted as soon as the log shows it', async (t) => {
  // Guards against an unknown outcome for a stored batch. The store is unresponsive for six seconds
  // and recovers just before a trainer's last attempt ends. The host that began the batch writes
  // it, while the host that the trainer asks still waits for the response to an append that was
  // sent in the outage. The trainer then gives up a step that is complete.
  const { clock, batches, batch, pending } = newHost('unknown');
  await clock.advance(1_000);
  batches.apply(batch);
  await clock.advance(1);
  t.is(await pending, 'written');
});

test('a batch that is not in the log is not reported as written', async (t) => {
  const { clock, batches, batch, pending } = newHost('unknown');
  batches.begin(batch);
  batches.apply(newBatch('other', [newItem('2')]));
  await clock.advance(1_200);
  t.is(await pending, 'unknown');
});

test('a host that could not run reads what the store answered before it refuses', async (t) => {
  // Guards against an unknown outcome for a batch that the store has acknowledged: its host was
  // suspended past the deadline, with the answer unread.
  const clock = newManualClock();
  const batches = newBatches({ clock, retentionMs: 120_000, parts: newPartialTexts(clock) });
  let acknowledge = (_outcome: WriteOutcome): void => {};
  const write = (): Promise<WriteOutcome> =>
    new Promise((resolve) => {
      acknowledge = resolve;
    });
  const pending = storeBatch({ clock, batches, write }, newBatch('b', []), clock.now() + 1_100);
  clock.jump(1_300);
  await clock.advance(1);
  acknowledge('written');
  t.is(await pending, 'written');
});

test('a caller is answered at the deadline even if the append is still unanswered', async (t) => {
  // A call to the store can hang until 1.2 s after it was sent, which may be long after the
  // deadline. The trainer has left by then, and its next attempt is the last one that could be in
  // time.
  const clock = newManualClock();
  const batches = newBatches({ clock, retentionMs: 120_000, parts: newPartialTexts(clock) });
  const write = async (): Promise<WriteOutcome> => {
    await clock.sleepUntil(clock.now() + 2_600);
    return 'written';
  };
  const pending = storeBatch({ clock, batches, write }, newBatch('b', []), clock.now() + 1_100);
  await clock.advance(1_101);
  t.is(await pending, 'unknown');
});

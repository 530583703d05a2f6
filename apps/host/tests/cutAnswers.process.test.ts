import test from 'ava';
import { batchBody, expectedTextOf, readAllResults, submitUntilKnown } from './batchHelpers.js';
import { newSystem } from './testSystem.js';

test.serial('a text whose engine closes within an event is finished by another run', async (t) => {
  // Guards against half a text that is listed as a whole sample: the answer has no length, and the
  // connection of an engine that is killed is closed like that of one that is done.
  const { platform, first, second, close } = await newSystem();
  t.teardown(close);
  platform.engines.forEach(({ faults }) => Object.assign(faults, { closeAfterEvents: 2 }));
  t.is((await submitUntilKnown(first, 'b1', batchBody('b1', 2, 4))).status, 202);
  const page = await readAllResults(second, 'b1');
  page.results.forEach(({ id, state, text }) => {
    t.is(state, 'completed');
    t.is(text, expectedTextOf(id));
  });
});

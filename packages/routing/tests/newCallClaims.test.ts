import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import { newMemoryLog } from '@cyclamengate/fakes/newMemoryLog';
import type { MemoryLog } from '@cyclamengate/fakes/newMemoryLog';
import newLogHost from '@cyclamengate/harness/newLogHost';
import test from 'ava';
import newCallClaims from '../src/newCallClaims.js';

const newHost = (log: MemoryLog, clock: ManualClock, name: string) =>
  newCallClaims(clock, newLogHost(log, clock, name).writer);

const newTestClaims = () => {
  const log = newMemoryLog();
  const clock = newManualClock();
  const [first, second] = ['one', 'two'].map((name) => newHost(log, clock, name));
  return { log, clock, first: first!, second: second! };
};

// A caller gets no answer to a deposit and sends it again through another failure domain while the
// first call is still running. Without a claim it runs at both hosts.
test('concurrent calls with one idempotency key at two hosts run at one host', async (t) => {
  const { clock, first, second } = newTestClaims();
  const claims = Promise.all([first('ledger', 'k1', 'd'), second('ledger', 'k1', 'd')]);
  await clock.advance(500);
  const [one, two] = await claims;
  t.is([one, two].filter((claim) => claim.ok).length, 1);
  const refused = [one, two].find((claim) => !claim.ok);
  t.is(refused && !refused.ok ? refused.val.outcome : '', 'unknown');
});

test('a call can be claimed again if it was not sent, but not if it may have run', async (t) => {
  const { clock, first, second } = newTestClaims();
  const claim = async (host: typeof first, key: string) => {
    const claiming = host('ledger', key, 'd');
    await clock.advance(300);
    return claiming;
  };
  const unsent = await claim(first, 'k1');
  if (unsent.ok) unsent.val.recordOutcome('not-run');
  await clock.advance(300);
  t.true((await claim(second, 'k1')).ok);
  const unknown = await claim(first, 'k2');
  if (unknown.ok) unknown.val.recordOutcome('unknown');
  await clock.advance(300);
  t.false((await claim(second, 'k2')).ok);
});

// The log is unavailable when the call arrives. Running the call without a claim could run it
// twice.
test('during a log outage the call is refused as not run and can be claimed afterwards', async (t) => {
  const { log, clock, first, second } = newTestClaims();
  log.isDown = true;
  const claiming = first('ledger', 'k1', 'd');
  await clock.advance(4_000);
  const refused = await claiming;
  t.is(refused.ok ? '' : refused.val.code, 'claim-not-possible');
  t.is(refused.ok ? '' : refused.val.outcome, 'not-run');
  log.isDown = false;
  await clock.advance(3_000);
  const again = second('ledger', 'k1', 'd');
  await clock.advance(1_000);
  t.true((await again).ok);
});

// The reply to the claim is lost, and the record is written after the host refused the call as not
// run.
test('a claim that is written after it was abandoned does not permit a run', async (t) => {
  const { log, clock, first, second } = newTestClaims();
  log.chooseOutcome = (bodies) =>
    bodies.some((body) => body.includes('call-claim')) ? 'lands-late' : 'lands';
  const claiming = first('ledger', 'k1', 'd');
  await clock.advance(4_000);
  t.false((await claiming).ok);
  log.chooseOutcome = () => 'lands';
  const other = second('ledger', 'k1', 'd');
  await clock.advance(300);
  t.true((await other).ok);
  log.writeDelayed();
  await clock.advance(300);
  const third = first('ledger', 'k1', 'd');
  await clock.advance(300);
  t.false((await third).ok);
});

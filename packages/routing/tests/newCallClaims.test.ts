import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import { newMemoryLog } from '@cyclamengate/fakes/newMemoryLog';
import type { MemoryLog } from '@cyclamengate/fakes/newMemoryLog';
import newLogHost from '@cyclamengate/harness/newLogHost';
import test from 'ava';
import newCallClaims from '../src/newCallClaims.js';

const newHost = (log: MemoryLog, clock: ManualClock, name: string) =>
  newCallClaims(clock, newLogHost(log, clock, name).writer);

const newBench = () => {
  const log = newMemoryLog();
  const clock = newManualClock();
  const [first, second] = ['one', 'two'].map((name) => newHost(log, clock, name));
  return { log, clock, first: first!, second: second! };
};

// A caller books a deposit, hears nothing and sends it again through another failure domain while the
// first is still under way. The naive way runs it at both hosts.
test('the same idempotency key at two hosts at once runs at one', async (t) => {
  const { clock, first, second } = newBench();
  const claims = Promise.all([first('ledger', 'k1', 'd'), second('ledger', 'k1', 'd')]);
  await clock.advance(500);
  const [one, two] = await claims;
  t.is([one, two].filter((claim) => claim.ok).length, 1);
  const refused = [one, two].find((claim) => !claim.ok);
  t.is(refused && !refused.ok ? refused.val.outcome : '', 'unknown');
});

test('a call that never left the host may be claimed again, one that may have run may not', async (t) => {
  const { clock, first, second } = newBench();
  const claim = async (host: typeof first, key: string) => {
    const claiming = host('ledger', key, 'd');
    await clock.advance(300);
    return claiming;
  };
  const unsent = await claim(first, 'k1');
  if (unsent.ok) unsent.val.end('not-run');
  await clock.advance(300);
  t.true((await claim(second, 'k1')).ok);
  const unknown = await claim(first, 'k2');
  if (unknown.ok) unknown.val.end('unknown');
  await clock.advance(300);
  t.false((await claim(second, 'k2')).ok);
});

// The log is out when the call comes. Running it without a claim could run it twice.
test('in an outage of the log the call is refused as not run, and runs later', async (t) => {
  const { log, clock, first, second } = newBench();
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

// The claim's answer is lost and the record lands after the host gave up and said "not run".
test('a claim that lands after it was given up licenses no run', async (t) => {
  const { log, clock, first, second } = newBench();
  log.fate = (bodies) =>
    bodies.some((body) => body.includes('call-claim')) ? 'lands-late' : 'lands';
  const claiming = first('ledger', 'k1', 'd');
  await clock.advance(4_000);
  t.false((await claiming).ok);
  log.fate = () => 'lands';
  const other = second('ledger', 'k1', 'd');
  await clock.advance(300);
  t.true((await other).ok);
  log.landLate();
  await clock.advance(300);
  const third = first('ledger', 'k1', 'd');
  await clock.advance(300);
  t.false((await third).ok);
});

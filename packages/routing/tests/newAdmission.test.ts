import { newManualClock, settle } from '@cyclamengate/fakes/newManualClock';
import type { QueuePolicyName } from '@cyclamengate/settings/hostSettings';
import newEffectiveSettings from '@cyclamengate/settings/newEffectiveSettings';
import { subtreeSettingsSchema } from '@cyclamengate/settings/subtreeSettings';
import test from 'ava';
import newAdmission from '../src/newAdmission.js';
import type { Ticket } from '../src/ticket.js';

const HOLD_MS = 100;

const newTestAdmission = (limit = 1_000, policy: QueuePolicyName = 'fair') => {
  const clock = newManualClock();
  const subtree = subtreeSettingsSchema.parse({
    customers: [
      { id: 'large', maxInFlight: limit, maxQueued: 1_000 },
      { id: 'small', maxInFlight: limit },
    ],
  });
  const settings = newEffectiveSettings({ '/': { revision: 0, subtree } });
  const running = new Map<string, number>();
  const countInFlight = (customer: string): number => running.get(customer) ?? 0;
  const admission = newAdmission({
    clock,
    service: 'tone',
    policy,
    reservedPart: 0.25,
    readSettings: () => settings,
    otherEntries: () => [],
    countInFlight,
  });
  admission.setSlots(2);
  const started: string[] = [];
  const submit = (
    customer: string,
    more: Partial<Ticket> = {},
    signal = new AbortController().signal,
  ) => {
    const ticket: Ticket = {
      customer,
      priority: 'interactive',
      cost: 100,
      deadline: clock.now() + 600_000,
      isCancelled: false,
      ...more,
    };
    return admission.run(
      ticket,
      async () => {
        running.set(customer, countInFlight(customer) + 1);
        started.push(customer);
        await clock.sleepUntil(clock.now() + HOLD_MS);
        running.set(customer, countInFlight(customer) - 1);
        return customer;
      },
      signal,
    );
  };
  return { clock, admission, submit, started };
};

// One customer sends a burst. In a first-in-first-out queue all other customers would wait behind
// it.
test('a burst of one customer does not delay another', async (t) => {
  const { clock, submit, started } = newTestAdmission();
  const large = Array.from({ length: 50 }, () => submit('large'));
  await settle();
  const small = submit('small');
  await clock.advance(HOLD_MS * 2);
  t.true((await small).ok);
  t.true(started.indexOf('small') <= 4);
  await clock.advance(HOLD_MS * 30);
  t.is((await Promise.all(large)).filter(({ ok }) => ok).length, 50);
});

test('a customer that was idle earns no credit for it', async (t) => {
  const { clock, submit, started } = newTestAdmission();
  const first = Array.from({ length: 40 }, () => submit('large'));
  await clock.advance(HOLD_MS * 10);
  const burst = Array.from({ length: 20 }, () => submit('small'));
  const before = started.length;
  await clock.advance(HOLD_MS * 8);
  const since = started.slice(before);
  const small = since.filter((customer) => customer === 'small').length;
  t.true(Math.abs(small - since.length / 2) <= 2, `${small} of ${since.length}`);
  await clock.advance(HOLD_MS * 40);
  await Promise.all([...first, ...burst]);
});

// The estimated wait exceeds the caller's deadline. If the refusal came only at the deadline, the
// caller's retry would be too late.
test('a request that cannot start before its deadline is refused at once with a retry time', async (t) => {
  const { clock, submit } = newTestAdmission();
  const queued = Array.from({ length: 100 }, () => submit('large'));
  await settle();
  const before = clock.now();
  const refused = await submit('large', { deadline: clock.now() + 500 });
  t.is(clock.now(), before);
  t.false(refused.ok);
  if (refused.ok) return;
  t.is(refused.val.code, 'deadline-not-reachable');
  t.is(refused.val.outcome, 'not-run');
  t.true((refused.val.retryAt ?? 0) > before);
  await clock.advance(HOLD_MS * 60);
  await Promise.all(queued);
});

// The wait was underestimated and the deadline passes in the queue. If the request still started
// later, the caller would have been told "not run" for a request that ran.
test('a request refused in the queue never starts afterwards', async (t) => {
  const { clock, admission, submit, started } = newTestAdmission();
  admission.setSlots(0);
  const waiting = submit('small', { deadline: clock.now() + 1_000 });
  await clock.advance(1_001);
  const refused = await waiting;
  t.false(refused.ok);
  admission.setSlots(2);
  await clock.advance(HOLD_MS * 5);
  t.deepEqual(started, []);
});

test('while no upstream is usable a request waits for a limited time', async (t) => {
  const { clock, admission, submit } = newTestAdmission();
  admission.setSlots(0);
  const early = submit('small');
  await clock.advance(1_000);
  admission.setSlots(2);
  await clock.advance(HOLD_MS * 2);
  t.true((await early).ok);
  admission.setSlots(0);
  const late = submit('small');
  await clock.advance(5_000);
  const refused = await late;
  t.is(refused.ok ? '' : refused.val.code, 'no-upstream');
});

test('a customer never runs more concurrent requests than its limit', async (t) => {
  const { clock, submit, started } = newTestAdmission(1);
  const all = [submit('large'), submit('large'), submit('large')];
  await settle();
  t.is(started.length, 1);
  await clock.advance(HOLD_MS * 4);
  await Promise.all(all);
  t.is(started.length, 3);
});

test('a queued request does not run after its caller disconnects', async (t) => {
  const { clock, submit, started } = newTestAdmission();
  const first = [submit('large'), submit('large')];
  const disconnect = new AbortController();
  const waiting = submit('small', {}, disconnect.signal);
  await settle();
  disconnect.abort();
  const refused = await waiting;
  t.is(refused.ok ? '' : refused.val.code, 'caller-gone');
  await clock.advance(HOLD_MS * 4);
  await Promise.all(first);
  t.false(started.includes('small'));
});

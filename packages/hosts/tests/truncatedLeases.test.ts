import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newSeededRandom from '@cyclamengate/fakes/newSeededRandom';
import test from 'ava';
import type { LeaseClaim } from '../src/coordinationRecord.js';
import newLeases from '../src/newLeases.js';

const TERM_MS = 3_000;
const MARGIN_MS = 300;
const SUBJECT = 'usage';
const HOSTS = ['a', 'b', 'c'];
const SEEDS = 40;
const STEPS = 60;
const STEP_MS = 500;

interface ClaimOptions {
  host: string;
  number: number;
  previous: number;
  isReleased?: boolean;
}

const newClaim = ({ host, number, previous, isReleased = false }: ClaimOptions): LeaseClaim => ({
  type: 'lease',
  subject: SUBJECT,
  host,
  incarnation: `${host}-run`,
  number,
  previous,
  isReleased,
});

/**
 * A log of claims as hosts write them while the store is slow at times: a host that has not read its
 * claim claims again, and some claims are appended late.
 */
const newClaimLog = (seed: number) => {
  const random = newSeededRandom(seed);
  const clock = newManualClock();
  const leases = newLeases(clock, TERM_MS);
  const records: LeaseClaim[] = [];
  const delayed: LeaseClaim[] = [];
  let number = 0;

  const append = (claim: LeaseClaim): void => {
    records.push(claim);
    leases.apply(claim, records.length - 1);
  };

  const claimAs = (host: string, previous: number): void => {
    number += 1;
    const claim = newClaim({ host, number, previous, isReleased: random() < 0.05 });
    if (random() < 0.15) delayed.push(claim);
    else append(claim);
    // Not read back in time, so that it claims once more after the same record.
    if (random() < 0.3) append({ ...claim, number: (number += 1), isReleased: false });
  };

  const step = async (): Promise<void> => {
    const previous = leases.newestOffset(SUBJECT);
    const holder = leases.holder(SUBJECT);
    if (holder && random() < 0.7) claimAs(holder.host, previous);
    HOSTS.filter((host) => host !== holder?.host)
      .filter((host) => leases.isFreeFor(SUBJECT, host, MARGIN_MS) && random() < 0.5)
      .forEach((host) => claimAs(host, previous));
    if (random() < 0.2) delayed.splice(0).forEach(append);
    await clock.advance(STEP_MS);
  };
  return { clock, leases, records, append, step };
};

test('a host that starts after claims have expired comes to the same holder as the others', async (t) => {
  // Guards against two hosts that hold a lease for good: one that starts when the oldest claim left is
  // a void one took it for valid, and all claims of the holder for void.
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { clock, leases, records, append, step } = newClaimLog(seed);
    for (let count = 0; count < STEPS; count += 1) await step();
    const heads = records.map((_, head) => head).filter((head) => head > 0);
    const fresh = heads.map((head) => {
      const view = newLeases(clock, TERM_MS);
      view.noteGap();
      records.slice(head).forEach((claim, index) => view.apply(claim, head + index));
      return view;
    });
    // Whoever holds the lease renews it, or another host claims it.
    const holder = leases.holder(SUBJECT)?.host ?? 'a';
    for (let renewal = 0; renewal < 2; renewal += 1) {
      t.true(
        fresh.every((view) => HOSTS.every((host) => !view.isFreeFor(SUBJECT, host, MARGIN_MS))),
      );
      await clock.advance(1_000);
      const previous = leases.newestOffset(SUBJECT);
      const claim = newClaim({ host: holder, number: 10_000 + renewal, previous });
      append(claim);
      fresh.forEach((view) => view.apply(claim, records.length - 1));
    }
    fresh.forEach((view, index) =>
      t.deepEqual(
        view.holder(SUBJECT)?.incarnation,
        leases.holder(SUBJECT)?.incarnation,
        `seed ${seed}, from record ${heads[index]}`,
      ),
    );
  }
});

test('a host that starts after claims have expired claims nothing for a term', async (t) => {
  // Guards against a host that takes a lease from its holder, whose claims it could not read.
  const clock = newManualClock();
  const leases = newLeases(clock, TERM_MS);
  leases.noteGap();
  t.false(leases.isFreeFor(SUBJECT, 'a', MARGIN_MS));
  leases.apply(newClaim({ host: 'a', number: 7, previous: 3, isReleased: true }), 9);
  t.false(leases.isFreeFor(SUBJECT, 'a', MARGIN_MS), 'the release may be void');
  await clock.advance(TERM_MS + MARGIN_MS);
  t.false(leases.isFreeFor(SUBJECT, 'b', MARGIN_MS));
  await clock.advance(1);
  t.true(leases.isFreeFor(SUBJECT, 'b', MARGIN_MS));
});

test('views that differ already agree after the next claim of each holder', (t) => {
  const clock = newManualClock();
  const views = [newLeases(clock, TERM_MS), newLeases(clock, TERM_MS)] as const;
  const [full, truncated] = views;
  full.apply(newClaim({ host: 'a', number: 1, previous: -1 }), 0);
  const applyToBoth = (claim: LeaseClaim, offset: number): void =>
    views.forEach((view) => view.apply(claim, offset));
  applyToBoth(newClaim({ host: 'a', number: 2, previous: -1 }), 1);
  applyToBoth(newClaim({ host: 'b', number: 1, previous: 1 }), 2);
  applyToBoth(newClaim({ host: 'a', number: 3, previous: 0 }), 3);
  applyToBoth(newClaim({ host: 'a', number: 4, previous: 3 }), 4);
  t.is(full.holder(SUBJECT)?.host, truncated.holder(SUBJECT)?.host);
});

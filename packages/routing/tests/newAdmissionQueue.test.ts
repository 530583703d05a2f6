import { newManualClock, settle } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newAdmissionQueue from '../src/newAdmissionQueue.js';
import Places from '../src/Places.js';
import type { Ticket } from '../src/ticket.js';

const newPlaces = (mayStart: () => boolean, count = 1) => {
  class FakePlaces extends Places {
    isAvailable(): boolean {
      return true;
    }

    mayStart(): boolean {
      return mayStart();
    }

    count(): number {
      return count;
    }

    begin(): void {}

    end(): void {}
  }
  return new FakePlaces();
};

/** A place that is taken and free again by turns, each time that somebody asks. */
const newFlickeringPlaces = () => {
  let asked = 0;
  return newPlaces(() => {
    asked += 1;
    return asked % 2 === 0;
  });
};

for (const policy of ['fair', 'fifo'] as const) {
  test(`a place that is taken as a request is about to start ends no host: ${policy}`, async (t) => {
    // Guards against a host that ends as another host takes the place between two looks at it.
    const clock = newManualClock();
    const queue = newAdmissionQueue({
      clock,
      policy,
      classShares: { usual: 1 },
      yieldingClass: null,
      places: newFlickeringPlaces(),
      getShare: () => 1,
      getMaxQueued: () => 10,
      initialHoldMs: 45,
      returnDelays: { minMs: 50, maxMs: 10_000 },
    });
    const newTicket = (): Ticket => ({
      customer: 'museum',
      priority: 'usual',
      cost: 1,
      deadline: clock.now() + 10_000,
      isCancelled: false,
    });
    const outcomes = Promise.all(
      ['first', 'second', 'third'].map((name) =>
        queue.run(newTicket(), async () => name, new AbortController().signal),
      ),
    );
    for (let round = 0; round < 20; round += 1) {
      queue.refresh();
      await settle();
    }
    t.deepEqual(
      (await outcomes).map((outcome) => outcome.ok && outcome.val),
      ['first', 'second', 'third'],
    );
  });
}

test("a customer's waiting scoring calls leave its own requests their place in the queue", async (t) => {
  // Guards against a large batch that has its customer's lookups refused as too many.
  const clock = newManualClock();
  const queue = newAdmissionQueue({
    clock,
    policy: 'fair',
    classShares: { usual: 8, later: 2 },
    yieldingClass: 'later',
    places: newPlaces(() => false, 10),
    getShare: () => 1,
    getMaxQueued: () => 2,
    initialHoldMs: 45,
    returnDelays: { minMs: 50, maxMs: 10_000 },
  });
  const refused: string[] = [];
  const submit = (priority: string): void => {
    const ticket = {
      customer: 'museum',
      priority,
      cost: 1,
      deadline: clock.now() + 10_000,
      isCancelled: false,
    };
    queue
      .run(ticket, async () => null, new AbortController().signal)
      .then((outcome) => outcome.ok || refused.push(`${priority} ${outcome.val.code}`));
  };
  ['later', 'later', 'later', 'usual', 'usual', 'usual'].forEach(submit);
  await settle();
  t.deepEqual(refused, ['later queue-full', 'usual queue-full']);
});

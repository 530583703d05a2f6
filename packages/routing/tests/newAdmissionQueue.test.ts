import { newManualClock, settle } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newAdmissionQueue from '../src/newAdmissionQueue.js';
import Places from '../src/Places.js';
import type { Ticket } from '../src/ticket.js';

/** One place that is taken and free again by turns, each time that somebody asks. */
const newFlickeringPlaces = () => {
  let asked = 0;
  class FlickeringPlaces extends Places {
    isAvailable(): boolean {
      return true;
    }

    mayStart(): boolean {
      asked += 1;
      return asked % 2 === 0;
    }

    count(): number {
      return 1;
    }

    begin(): void {}

    end(): void {}
  }
  return new FlickeringPlaces();
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

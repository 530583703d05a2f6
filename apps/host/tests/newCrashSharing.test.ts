import newMetrics from '@cyclamengate/common/newMetrics';
import newOddValues from '@cyclamengate/common/newOddValues';
import newCrashHistory from '@cyclamengate/engines/newCrashHistory';
import type { CrashHistory } from '@cyclamengate/engines/newCrashHistory';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import newMemoryStore, { encodeKeyedBody, newNoFaults } from '@cyclamengate/store/newMemoryStore';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import newCrashSharing from '../src/newCrashSharing.js';

const silentLog = { info: () => {}, warn: () => {}, error: () => {} };

/** A system of hosts that share a store; peers are all hosts that run. */
const newSystem = (t: ExecutionContext) => {
  const clock = newManualClock();
  const memory = newMemoryStore();
  const running: CrashHistory[] = [];
  const controller = new AbortController();

  const startHost = (name: string, isOwner = false) => {
    const history = newCrashHistory(clock);
    const faults = newNoFaults();
    const sharing = newCrashSharing({
      clock,
      log: silentLog,
      store: memory.newView(faults),
      oddValues: newOddValues(clock, silentLog, newMetrics()),
      incarnation: name,
      history,
      peers: {
        exchangeCrashes: async (crashes) => {
          const others = running.filter((other) => other !== history);
          others.forEach((other) => crashes.forEach(other.merge));
          return others.flatMap((other) => other.newest(128));
        },
      },
      isFresh: () => !faults.isRefusing,
      isOwner: () => isOwner,
      readIntervalFactor: () => 1,
    });
    running.push(history);
    const done = sharing.run(controller.signal);
    return { history, faults, done };
  };

  const stop = async (...hosts: { done: Promise<void> }[]): Promise<void> => {
    controller.abort();
    await clock.advance(10_000);
    await Promise.all(hosts.map(({ done }) => done));
  };
  t.teardown(() => controller.abort());
  return { clock, memory, startHost, stop };
};

const addCrash = (clock: ManualClock, { history }: { history: CrashHistory }, upstream: string) =>
  history.add({
    digest: 'deadly',
    upstream,
    endedAt: clock.wallTime(),
    weight: 1,
    work: 'call' as const,
  });

/** Reads of the memory store wait in real time. */
const waitFor = async (clock: ManualClock, isMet: () => boolean): Promise<void> => {
  while (!isMet()) {
    await clock.advance(50);
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
};

test('every host learns of a crash, also one that starts later', async (t) => {
  // Guards against a request that its caller sends to one host after the other, or to a new one.
  const { clock, startHost } = newSystem(t);
  const [first, second] = [startHost('first'), startHost('second')];
  addCrash(clock, first, 'a@1');
  addCrash(clock, second, 'b@1');
  await waitFor(clock, () =>
    [first, second].every(({ history }) => history.upstreamsOf('deadly').length === 2),
  );
  const third = startHost('third');
  await waitFor(clock, () => third.history.upstreamsOf('deadly').length === 2);
  t.deepEqual(third.history.upstreamsOf('deadly').sort(), ['a@1', 'b@1']);
});

test('a request that one host has answered is released on every host', async (t) => {
  const { clock, startHost } = newSystem(t);
  const [first, second] = [startHost('first'), startHost('second')];
  addCrash(clock, first, 'a@1');
  addCrash(clock, first, 'b@1');
  await waitFor(clock, () => second.history.upstreamsOf('deadly').length === 2);
  second.history.recordAnswer('deadly');
  await waitFor(clock, () => first.history.size() === 0);
  t.is(startHost('third').history.size(), 0);
});

test('a host that does not reach the store learns of crashes from its peers, and tells them', async (t) => {
  // Guards against a request that is sent on by a host that is cut off from the store.
  const { clock, startHost } = newSystem(t);
  const [first, cutOff] = [startHost('first'), startHost('cut-off')];
  cutOff.faults.isRefusing = true;
  addCrash(clock, first, 'a@1');
  addCrash(clock, cutOff, 'b@1');
  await waitFor(clock, () =>
    [first, cutOff].every(({ history }) => history.upstreamsOf('deadly').length === 2),
  );
  t.pass();
});

test('a crash that is seen in an outage of the store is stored after it', async (t) => {
  // Guards against hosts that start after the outage and do not know of the request.
  const { clock, startHost } = newSystem(t);
  const first = startHost('first');
  first.faults.isRefusing = true;
  addCrash(clock, first, 'a@1');
  await clock.advance(9_000);
  first.faults.isRefusing = false;
  const second = startHost('second');
  await waitFor(clock, () => second.history.size() === 1);
  t.deepEqual(second.history.upstreamsOf('deadly'), ['a@1']);
});

test('expired crashes are deleted from the store, also those of hosts that are gone', async (t) => {
  const { clock, memory, startHost } = newSystem(t);
  const gone = { digest: 'deadly', upstream: 'a/1@1', endedAt: clock.wallTime() - 900_000 };
  memory.put('keyed.crashes', [encodeKeyedBody('deadly/a/1@1', JSON.stringify(gone))]);
  const owner = startHost('owner', true);
  addCrash(clock, owner, 'b@1');
  await waitFor(clock, () => memory.newest('keyed.crashes').records.length === 1);
  t.deepEqual(owner.history.upstreamsOf('deadly'), ['b@1']);
  await clock.advance(900_000);
  await waitFor(clock, () => memory.newest('keyed.crashes').records.length === 0);
  t.is(owner.history.size(), 0);
});

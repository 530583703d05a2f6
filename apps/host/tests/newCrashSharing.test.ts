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

test('odd records of crashes hold no request and keep no other from being read', async (t) => {
  // Guards against a request that every new host holds for good, a host that is busy for minutes with
  // the crashes of one request, and keys that the store can't have.
  const { clock, memory, startHost } = newSystem(t);
  const put = (key: string, value: string): void => {
    memory.put('keyed.crashes', [encodeKeyedBody(key, value)]);
  };
  const crashText = (fields: Record<string, unknown>): string =>
    JSON.stringify({ digest: 'held', upstream: 'a@1', endedAt: clock.wallTime(), ...fields });
  const nested = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;
  put('held/a@1', crashText({ endedAt: clock.wallTime() + 86_400_000 }));
  put('held/b@1', crashText({ upstream: 'b@1', endedAt: 1e308 }));
  put('held/c@1', crashText({ upstream: 'c@1', endedAt: -1 }));
  put('held/d@1', crashText({ upstream: 'd@1', weight: 1e308 }));
  put('other/e@1', crashText({ upstream: 'e@1' }));
  put('held/x/f@1', crashText({ digest: 'held/x', upstream: 'f@1' }));
  put('held/g@1', crashText({ upstream: 'g'.repeat(100_000) }));
  put('held/h@1', nested);
  put('held/i@1', '{"digest":"held","upstream":"i@1","endedAt":1e999}');
  Array.from({ length: 3_000 }, (_, index) =>
    put(`often/${index}@1`, crashText({ digest: 'often', upstream: `${index}@1` })),
  );
  put('deadly/z@1', crashText({ digest: 'deadly', upstream: 'z@1' }));
  const host = startHost('host', true);
  await waitFor(clock, () => host.history.size() === 2);
  await clock.advance(1_000);
  t.is(host.history.heldUntil('held'), null);
  t.deepEqual(host.history.upstreamsOf('held'), []);
  t.deepEqual(host.history.upstreamsOf('deadly'), ['z@1']);
  t.true(host.history.upstreamsOf('often').length <= 64);
  const late = startHost('late');
  await waitFor(clock, () => late.history.size() === 2);
  t.deepEqual(late.history.upstreamsOf('held'), []);
  const keys = (): string[] => memory.newest('keyed.crashes').records.map(({ key }) => key);
  await waitFor(clock, () => !keys().includes('held/a@1'));
  t.true(keys().includes('deadly/z@1'));
});

test('a crash whose key would be too long is not written under another key', async (t) => {
  // Guards against a record that overwrites or deletes that of another crash.
  const { clock, memory, startHost } = newSystem(t);
  const host = startHost('host');
  addCrash(clock, host, `${'u'.repeat(260)}@1`);
  addCrash(clock, host, 'a@1');
  await waitFor(clock, () => memory.newest('keyed.crashes').records.length > 0);
  host.history.recordAnswer('deadly');
  await waitFor(clock, () => memory.newest('keyed.crashes').records.length === 0);
  t.is(memory.newest('keyed.crashes').end, 2);
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

import type Clock from '@cyclamengate/common/Clock';
import { CUSTOMER_KEY, newOperatorSettings } from '@cyclamengate/app-platform-standin/newPlatform';
import newMetrics from '@cyclamengate/common/newMetrics';
import newOddValues from '@cyclamengate/common/newOddValues';
import newDirectory from '@cyclamengate/engines/newDirectory';
import newEvacuations from '@cyclamengate/engines/newEvacuations';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newSettingsView from '@cyclamengate/gateway/newSettingsView';
import newMemoryStore, { encodeKeyedBody, newNoFaults } from '@cyclamengate/store/newMemoryStore';
import type Store from '@cyclamengate/store/Store';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import followPlatform from '../src/followPlatform.js';

const silentLog = { info: () => {}, warn: () => {}, error: () => {} };

const publish = (memory: ReturnType<typeof newMemoryStore>, value: unknown): void => {
  memory.put('keyed.op', [encodeKeyedBody('config', JSON.stringify(value))]);
};

const POLL_INTERVAL_MS = 10;
const WRITE_INTERVAL_MS = 1_200;

/** Holds reads open by the given clock, where the memory store waits in real time. */
const holdReadsBy = (clock: Clock, store: Store): Store => {
  const read = store.read.bind(store);
  Object.assign(store, {
    read: async (topic: string, from: number, waitMs: number, signal?: AbortSignal) => {
      const waitUntil = clock.now() + waitMs;
      for (;;) {
        const page = await read(topic, from, 0, signal);
        const isEmpty = page.ok && page.val.records.length === 0;
        if (!isEmpty || clock.now() >= waitUntil || signal?.aborted) return page;
        await clock.sleepUntil(Math.min(waitUntil, clock.now() + POLL_INTERVAL_MS), signal);
      }
    },
  });
  return store;
};

/** A host that follows the store, and a peer whose settings are those of the store. */
const newFollower = (
  t: ExecutionContext,
  readIntervalFactor = 1,
  memory: ReturnType<typeof newMemoryStore> = newMemoryStore(),
) => {
  const clock = newManualClock();
  const faults = newNoFaults();
  const settingsView = newSettingsView(silentLog);
  const peerView = newSettingsView(silentLog);
  const asked: number[] = [];
  const evacuations = newEvacuations({ clock, log: silentLog });
  const peerEvacuations = newEvacuations({ clock, log: silentLog });
  const newParts = (view: typeof settingsView) => ({
    clock,
    log: silentLog,
    oddValues: newOddValues(clock, silentLog, newMetrics()),
    settingsView: view,
    directory: newDirectory(clock, silentLog),
    readIntervalFactor: () => readIntervalFactor,
    upstreamWriteIntervalMs: WRITE_INTERVAL_MS,
  });
  const hostParts = newParts(settingsView);
  const { directory } = hostParts;
  const host = followPlatform({
    ...hostParts,
    store: holdReadsBy(clock, memory.newView(faults)),
    evacuations,
    peers: {
      fetchEvacuations: async () => peerEvacuations.all(),
      fetchNewerSettings: async (version) => {
        asked.push(version);
        const source = peerView.findNewerSource(version);
        return source === null ? [] : [source];
      },
    },
  });
  const peer = followPlatform({
    ...newParts(peerView),
    store: holdReadsBy(clock, memory.newView()),
    evacuations: peerEvacuations,
    peers: { fetchNewerSettings: async () => [], fetchEvacuations: async () => [] },
  });
  const controller = new AbortController();
  host.run(controller.signal);
  peer.run(controller.signal);
  t.teardown(() => controller.abort());
  /** Reads of the memory store wait in real time. */
  const waitFor = async (isMet: () => boolean): Promise<void> => {
    while (!isMet()) {
      await clock.advance(50);
      await new Promise((resolve) => {
        setTimeout(resolve, 1);
      });
    }
  };
  return {
    clock,
    memory,
    faults,
    settingsView,
    directory,
    evacuations,
    asked,
    waitFor,
    host,
  };
};

test('a host that alone does not reach the store learns of a withdrawn key from its peers', async (t) => {
  // Guards against a withdrawn key that still works at the hosts which the store turns away.
  const { memory, faults, settingsView, waitFor } = newFollower(t);
  publish(memory, newOperatorSettings(1));
  await waitFor(() => settingsView.version() === 1);
  t.true(settingsView.read()?.customersByKey.has(CUSTOMER_KEY));
  faults.isRefusing = true;
  publish(memory, { ...newOperatorSettings(2), tenants: [] });
  await waitFor(() => settingsView.version() === 2);
  t.false(settingsView.read()?.customersByKey.has(CUSTOMER_KEY));
});

test('peers are not asked for settings while the store answers', async (t) => {
  const { clock, memory, faults, settingsView, asked, waitFor } = newFollower(t);
  publish(memory, newOperatorSettings(1));
  await waitFor(() => settingsView.version() === 1);
  const askedAtStart = asked.length;
  for (let version = 2; version <= 41; version += 1) {
    publish(memory, newOperatorSettings(version));
    await waitFor(() => settingsView.version() === version);
    await clock.advance(100);
  }
  t.is(asked.length, askedAtStart);
  faults.isRefusing = true;
  await waitFor(() => asked.length > askedAtStart);
  t.is(asked.at(-1), 41);
});

const putEvacuation = (memory: ReturnType<typeof newMemoryStore>, value: string): void => {
  memory.put('keyed.op', [encodeKeyedBody('evacuate/detroit', value)]);
};

test('a host that alone does not reach the store learns of an evacuation from its peers', async (t) => {
  // Guards against a host that keeps sending to an evacuated domain, and against one that never uses
  // the domain again.
  const { memory, faults, evacuations, waitFor } = newFollower(t);
  await waitFor(() => evacuations.list().length === 0);
  faults.isRefusing = true;
  putEvacuation(memory, '{}');
  await waitFor(() => evacuations.isEvacuated('detroit'));
  putEvacuation(memory, '');
  await waitFor(() => !evacuations.isEvacuated('detroit'));
  t.pass();
});

test('an evacuation that is taken back and asked for again within a second is in force', async (t) => {
  // Guards against a host that mixes up the two evacuations and uses the domain.
  const { clock, memory, evacuations, waitFor } = newFollower(t);
  putEvacuation(memory, '{}');
  await waitFor(() => evacuations.isEvacuated('detroit'));
  putEvacuation(memory, '');
  putEvacuation(memory, '{}');
  await clock.advance(1_000);
  await waitFor(() => evacuations.all()[0]?.offset === 2);
  t.true(evacuations.isEvacuated('detroit'));
});

test('a record of an evacuation that cannot be read changes nothing', async (t) => {
  // Guards against a damaged record that puts a domain out of use, or back into it.
  const { clock, memory, evacuations, settingsView, waitFor } = newFollower(t);
  putEvacuation(memory, '{"broken');
  publish(memory, newOperatorSettings(1));
  await waitFor(() => settingsView.version() === 1);
  t.false(evacuations.isEvacuated('detroit'));
  putEvacuation(memory, '{}');
  await waitFor(() => evacuations.isEvacuated('detroit'));
  putEvacuation(memory, '{"broken');
  publish(memory, newOperatorSettings(2));
  await waitFor(() => settingsView.version() === 2);
  await clock.advance(1_000);
  t.true(evacuations.isEvacuated('detroit'));
});

test('an evacuation of no domain and settings that cannot be used change nothing', async (t) => {
  // Guards against a domain without a name that peers are told of, and against settings in force that
  // end the host with its next connection.
  const { memory, evacuations, settingsView, waitFor } = newFollower(t);
  publish(memory, newOperatorSettings(1));
  memory.put('keyed.op', [
    encodeKeyedBody('evacuate/', '{}'),
    encodeKeyedBody(
      'config',
      JSON.stringify({ ...newOperatorSettings(9), limits: { 'idle-timeout-ms': -5_000 } }),
    ),
    encodeKeyedBody('evacuate/detroit', '{}'),
  ]);
  await waitFor(() => evacuations.isEvacuated('detroit'));
  t.deepEqual(
    evacuations.all().map(({ failureDomain }) => failureDomain),
    ['detroit'],
  );
  publish(memory, newOperatorSettings(2));
  await waitFor(() => settingsView.version() === 2);
  t.is(settingsView.version(), 2);
});

test('a host that starts while the newest records cannot be read has the older ones', async (t) => {
  // Guards against hosts that are never ready, use an evacuated domain, or take old weights for the
  // newest, since another program wrote over the operator's record before they started.
  const memory = newMemoryStore();
  const putRecord = (key: string, value: string): void => {
    memory.put('keyed.op', [encodeKeyedBody(key, value)]);
  };
  publish(memory, newOperatorSettings(1));
  publish(memory, newOperatorSettings(2));
  putEvacuation(memory, '{}');
  putRecord('evacuate/cleveland', '{}');
  putRecord('evacuate/cleveland', '');
  putRecord('version/x', '{"model":"x","version":7}');
  ['config', 'evacuate/detroit', 'version/x'].forEach((key) => putRecord(key, '{"odd'));
  const { settingsView, evacuations, host, waitFor } = newFollower(t, 1, memory);
  await waitFor(() => settingsView.version() === 2);
  await waitFor(() => evacuations.isEvacuated('detroit'));
  t.false(evacuations.isEvacuated('cleveland'));
  t.is(host.newestVersion('x').version, 7);
  publish(memory, newOperatorSettings(3));
  await waitFor(() => settingsView.version() === 3);
});

test('a host whose store has deleted the last readable settings gets them from its peers', async (t) => {
  // Guards against a host that is never ready, although others have settings in force.
  const { memory, settingsView, waitFor } = newFollower(t);
  publish(memory, newOperatorSettings(1));
  await waitFor(() => settingsView.version() === 1);
  memory.put('keyed.op', [encodeKeyedBody('config', '{"odd')]);
  memory.trim('keyed.op', 1);
  const controller = new AbortController();
  t.teardown(() => controller.abort());
  const clock = newManualClock();
  const late = newSettingsView(silentLog);
  /** A host that has just started knows no peers yet. */
  let asked = 0;
  const oddValues = newOddValues(clock, silentLog, newMetrics());
  followPlatform({
    clock,
    log: silentLog,
    oddValues,
    settingsView: late,
    store: holdReadsBy(clock, memory.newView()),
    directory: newDirectory(clock, silentLog),
    evacuations: newEvacuations({ clock, log: silentLog }),
    readIntervalFactor: () => 1,
    upstreamWriteIntervalMs: WRITE_INTERVAL_MS,
    peers: {
      fetchEvacuations: async () => [],
      fetchNewerSettings: async (version) => {
        asked += 1;
        const source = asked > 1 ? settingsView.findNewerSource(version) : null;
        return source === null ? [] : [source];
      },
    },
  }).run(controller.signal);
  while (late.version() !== 1) await clock.advance(50);
  t.is(late.version(), 1);
});

test('a host of a large fleet does not ask its peers while the store answers', async (t) => {
  // Guards against settings that count as old between two reads, so that all hosts call one another.
  const { clock, settingsView, asked, memory, waitFor } = newFollower(t, 2.5);
  publish(memory, newOperatorSettings(1));
  await waitFor(() => settingsView.version() === 1);
  const askedAtStart = asked.length;
  const endsAt = clock.now() + 20_000;
  await waitFor(() => clock.now() >= endsAt);
  t.is(asked.length, askedAtStart);
});

const putEntry = (memory: ReturnType<typeof newMemoryStore>, id: string, slots: number): void => {
  const entry = {
    service: 'portal',
    address: '127.0.0.1:9',
    zone: 'detroit',
    slots,
    state: 'ready',
    born: 1,
  };
  memory.put('keyed.servers', [encodeKeyedBody(id, JSON.stringify(entry))]);
};

const deleteEntry = (memory: ReturnType<typeof newMemoryStore>, id: string): void => {
  memory.put('keyed.servers', [encodeKeyedBody(id, '')]);
};

const LOST_READS_MS = [400, 1_500, 7_200];

LOST_READS_MS.forEach((lostMs) => {
  test(`an upstream whose removal is read after lost reads of one host is gone (${lostMs} ms)`, async (t) => {
    // Guards against requests to an upstream that has left: the store was there all the while, and the
    // deletion that it has confirmed is not one of an entry that expired.
    const { clock, memory, faults, directory, waitFor } = newFollower(t);
    putEntry(memory, 'leaving', 1);
    putEntry(memory, 'staying', 1);
    await waitFor(() => directory.entries().length === 2);
    faults.isRefusing = true;
    const backAt = clock.now() + lostMs;
    for (let slots = 2; clock.now() < backAt; slots += 1) {
      putEntry(memory, 'leaving', slots);
      putEntry(memory, 'staying', slots);
      await clock.advance(Math.min(WRITE_INTERVAL_MS, backAt - clock.now()));
    }
    faults.isRefusing = false;
    putEntry(memory, 'staying', 9);
    await waitFor(() => directory.find('staying')?.slots === 9);
    deleteEntry(memory, 'leaving');
    const deletedAt = clock.now();
    await waitFor(() => directory.find('leaving') === undefined);
    t.true(clock.now() < deletedAt + 1_000);
    t.truthy(directory.find('staying'));
  });
});

test('entries that expired in an outage of the store are kept until they can be back', async (t) => {
  // Guards against a host that has no upstream left after an outage, since it reads their deletions first.
  const { clock, memory, faults, directory, waitFor } = newFollower(t);
  putEntry(memory, 'alive', 1);
  putEntry(memory, 'dead', 1);
  await waitFor(() => directory.entries().length === 2);
  faults.isRefusing = true;
  await clock.advance(6_000);
  deleteEntry(memory, 'alive');
  deleteEntry(memory, 'dead');
  faults.isRefusing = false;
  await clock.advance(1_000);
  t.is(directory.all('portal').length, 2);
  putEntry(memory, 'alive', 2);
  await waitFor(() => directory.find('dead') === undefined);
  t.is(directory.find('alive')?.slots, 2);
});

test('a version under the key of another model names no version', async (t) => {
  // Guards against engines that are ordered to a version which no trainer has named.
  const { memory, host, settingsView, waitFor } = newFollower(t);
  const put = (key: string, value: unknown): void => {
    memory.put('keyed.op', [encodeKeyedBody(key, JSON.stringify(value))]);
  };
  put('version/nobody', { model: 'x', version: 1_000_000_000 });
  put('version/x', { model: 'x', version: 2 });
  put('config', newOperatorSettings(3));
  await waitFor(() => settingsView.version() === 3);
  t.is(host.newestVersion('x').version, 2);
});

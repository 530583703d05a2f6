import { Socket } from 'node:net';
import { newOperatorSettings } from '@cyclamengate/app-platform-standin/newPlatform';
import newMetrics from '@cyclamengate/common/newMetrics';
import newOddValues from '@cyclamengate/common/newOddValues';
import newSystemClock from '@cyclamengate/common/newSystemClock';
import newCrashHistory from '@cyclamengate/engines/newCrashHistory';
import newDirectory from '@cyclamengate/engines/newDirectory';
import newEvacuations from '@cyclamengate/engines/newEvacuations';
import { ODD_VALUES, replaceMember } from '@cyclamengate/fakes/oddJson';
import { findCaller, findRoute, pickService } from '@cyclamengate/gateway/findRoute';
import newSettingsView from '@cyclamengate/gateway/newSettingsView';
import newMemoryStore, { encodeKeyedBody } from '@cyclamengate/store/newMemoryStore';
import test from 'ava';
import fc from 'fast-check';
import followPlatform from '../src/followPlatform.js';
import newCrashSharing from '../src/newCrashSharing.js';

const TEST_TIMEOUT_MS = 120_000;
const RUNS = 60;
const NESTED = '['.repeat(100_000);
const silentLog = { info: () => {}, warn: () => {}, error: () => {} };
const clock = newSystemClock();

const waitUntil = async (isMet: () => boolean): Promise<void> => {
  while (!isMet()) await clock.sleepUntil(clock.now() + 2);
};

const oddValue = fc.oneof(fc.constantFrom(...ODD_VALUES), fc.jsonValue({ maxDepth: 4 }));

/** Records of which a member was replaced, and texts that are no JSON. */
const oddTextOf = (...sound: unknown[]) =>
  fc.oneof(
    fc
      .tuple(
        fc.constantFrom(...sound),
        fc.array(fc.nat(20), { minLength: 1, maxLength: 5 }),
        oddValue,
      )
      .map(([record, path, value]) => JSON.stringify(replaceMember(record, path, value))),
    fc.constantFrom(NESTED, '{', '{"version":1e999}', '"', 'null'),
  );

/** Versions rise, so odd settings that can be read come before the sound ones. */
const withVersion0 = (text: string): string =>
  text.replace(/"version":\d+(\.\d+)?(e\+?\d+)?/, '"version":0');

const RICH_SETTINGS = {
  ...newOperatorSettings(0),
  routes: newOperatorSettings().routes.map((route) => ({
    ...route,
    'traffic-split': [{ service: 'portal', weight: 1 }],
  })),
  services: newOperatorSettings().services.map((service) => ({
    ...service,
    'cold-s': 1,
    'cold-per-s': 5,
    autoscale: { min: 1, max: 2, 'boot-s': 3, 'spot-price': 0.5, 'zone-prices': { detroit: 1 } },
  })),
};

const operatorRecord = fc.oneof(
  oddTextOf(RICH_SETTINGS).map((text) => encodeKeyedBody('config', withVersion0(text))),
  oddTextOf({ model: 'odd', version: 3 }).map((text) => encodeKeyedBody('version/odd', text)),
  oddTextOf({}).map((text) => encodeKeyedBody('evacuate/odd', text)),
  fc.string({ maxLength: 100 }).map((key) => encodeKeyedBody(`evacuate/${key}`, '{}')),
  fc.uint8Array({ maxLength: 40 }).map((bytes) => Buffer.from(bytes)),
);

/** Whether Node.js and the gateway bear the settings in force, whatever they hold. */
const useSettings = (view: ReturnType<typeof newSettingsView>): void => {
  const effective = view.read();
  if (!effective) return;
  const { idleTimeoutMs } = effective.settings.limits;
  const socket = new Socket();
  socket.setTimeout(idleTimeoutMs);
  socket.destroy();
  effective.settings.routes.forEach((route) => {
    pickService(route, 0.999_999);
    findRoute(effective, route.hostName, '/lookup/7');
    findCaller(effective, route, 'key');
  });
};

test("odd records of the operator's topic cost themselves alone", async (t) => {
  // Guards against hosts that end, or follow the operator no more, since another program wrote a record
  // among the operator's.
  t.timeout(TEST_TIMEOUT_MS);
  await fc.assert(
    fc.asyncProperty(fc.array(operatorRecord, { maxLength: 30 }), async (odd) => {
      const memory = newMemoryStore();
      const metrics = newMetrics();
      const settingsView = newSettingsView(silentLog);
      const evacuations = newEvacuations({ clock, log: silentLog });
      const stop = new AbortController();
      const host = followPlatform({
        clock,
        log: silentLog,
        store: memory.newView(),
        oddValues: newOddValues(clock, silentLog, metrics),
        settingsView,
        directory: newDirectory(clock, silentLog),
        evacuations,
        peers: { fetchEvacuations: async () => [], fetchNewerSettings: async () => [] },
        readIntervalFactor: () => 0.01,
        upstreamWriteIntervalMs: 1_200,
      });
      memory.put('keyed.op', [...odd, encodeKeyedBody('evacuate/read', '{}')]);
      const running = host.run(stop.signal);
      await waitUntil(() => evacuations.isEvacuated('read'));
      useSettings(settingsView);
      memory.put('keyed.op', [
        ...odd,
        encodeKeyedBody('config', JSON.stringify(newOperatorSettings(1))),
        encodeKeyedBody('version/x', '{"model":"x","version":2}'),
        encodeKeyedBody('evacuate/detroit', '{}'),
        ...odd,
      ]);
      await waitUntil(() => evacuations.isEvacuated('detroit'));
      await waitUntil(() => settingsView.version() === 1);
      t.is(host.newestVersion('x').version, 2);
      t.false(
        metrics.text().includes('values_broken'),
        'the code behind the schema bears all of it',
      );
      stop.abort();
      await running;
    }),
    { numRuns: RUNS },
  );
});

const crashOn = (upstream: string) => ({ digest: 'odd', upstream, endedAt: Date.now(), weight: 1 });

/** None of the keys is that of its value, so each crash would be remembered after its deletion. */
const crashRecord = fc.oneof(
  fc
    .tuple(
      fc.constantFrom('odd/x@1', 'odd/y@1', 'x', '', '/'),
      oddTextOf(crashOn('a@1'), crashOn('b@1'), crashOn('c@1')),
    )
    .map(([key, text]) => encodeKeyedBody(key, text)),
  fc.uint8Array({ maxLength: 40 }).map((bytes) => Buffer.from(bytes)),
);

test('odd records of crashes cost themselves alone', async (t) => {
  // Guards against hosts that know of no crash any more, and requests that are held for good.
  t.timeout(TEST_TIMEOUT_MS);
  await fc.assert(
    fc.asyncProperty(fc.array(crashRecord, { maxLength: 30 }), async (odd) => {
      const memory = newMemoryStore();
      const metrics = newMetrics();
      const history = newCrashHistory(clock);
      const stop = new AbortController();
      const sharing = newCrashSharing({
        clock,
        log: silentLog,
        store: memory.newView(),
        oddValues: newOddValues(clock, silentLog, metrics),
        incarnation: 'host',
        history,
        peers: { exchangeCrashes: async () => [] },
        isFresh: () => true,
        isOwner: () => false,
        readIntervalFactor: () => 0.01,
      });
      const endedAt = clock.wallTime();
      const known = { digest: 'deadly', upstream: 'z@1', endedAt };
      memory.put('keyed.crashes', odd);
      const running = sharing.run(stop.signal);
      memory.put('keyed.crashes', [
        ...odd,
        encodeKeyedBody('deadly/z@1', JSON.stringify(known)),
        ...odd,
      ]);
      await waitUntil(() => history.upstreamsOf('deadly').length === 1);
      t.is(history.size(), 1, 'the key tells which request a record is of');
      t.is(history.heldUntil('odd'), null);
      t.false(
        metrics.text().includes('values_broken'),
        'the code behind the schema bears all of it',
      );
      stop.abort();
      await running;
    }),
    { numRuns: RUNS },
  );
});

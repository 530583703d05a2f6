import test from 'ava';
import { findCaller, findRoute, pickService } from '../src/findRoute.js';
import findHomes from '../src/findHomes.js';
import newEventSplitter from '../src/newEventSplitter.js';
import newSettingsView from '../src/newSettingsView.js';
import type { OperatorSettings, Route } from '../src/operatorSettings.js';
import { silentLog } from './helpers.js';

const newRoute = (pathPrefix: string, changes: Partial<Route> = {}): Route => ({
  name: pathPrefix,
  hostName: 'parts.example',
  pathPrefix,
  kind: 'idempotent',
  isStream: false,
  isResumable: false,
  isSingleVersion: false,
  isPublic: false,
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  maxUpstreams: 2,
  priority: 0,
  splits: [{ service: 'portal', weight: 1 }],
  resultsDueMs: 0,
  retentionMs: 0,
  homes: null,
  ...changes,
});

const newSettings = (
  version: number,
  changes: Partial<OperatorSettings> = {},
): OperatorSettings => ({
  version,
  routes: [newRoute('/a/'), newRoute('/a/b/'), newRoute('/open/', { isPublic: true })],
  services: [],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  customers: [{ name: 'museum', keys: ['k1', 'k2'], priority: null, share: 1, homes: null }],
  ...changes,
});

const buildEffective = (settings: OperatorSettings) => {
  const view = newSettingsView(silentLog);
  view.put(settings);
  const effective = view.read();
  if (!effective) throw new Error('no settings');
  return effective;
};

test('the route with the longest matching prefix is chosen', (t) => {
  const effective = buildEffective(newSettings(1));
  t.is(findRoute(effective, 'parts.example', '/a/b/c?x=1')?.name, '/a/b/');
  t.is(findRoute(effective, 'parts.example', '/a/c')?.name, '/a/');
  t.is(findRoute(effective, 'parts.example', '/ab/')?.name, undefined);
  t.is(findRoute(effective, 'other.example', '/a/c'), null);
});

test('a key identifies its customer, and a missing or unknown key identifies none', (t) => {
  const effective = buildEffective(newSettings(1));
  const route = findRoute(effective, 'parts.example', '/a/c');
  t.deepEqual(findCaller(effective, route, 'k2'), {
    type: 'customer',
    customer: { name: 'museum', keys: ['k1', 'k2'], priority: null, share: 1, homes: null },
  });
  t.is(findCaller(effective, route, 'stolen'), null);
  t.is(findCaller(effective, route, null), null);
  const open = findRoute(effective, 'parts.example', '/open/x');
  t.deepEqual(findCaller(effective, open, null), { type: 'anyone' });
});

test('settings are never replaced by an older version', (t) => {
  // After an outage the store returns an old record again. A withdrawn key would become valid.
  const view = newSettingsView(silentLog);
  view.put(newSettings(7, { customers: [] }));
  view.put(newSettings(3));
  t.is(view.read()?.settings.version, 7);
  t.is(view.read()?.customersByKey.size, 0);
});

test('requests are split by weight', (t) => {
  const splits = [
    { service: 'old', weight: 90 },
    { service: 'new', weight: 10 },
  ];
  const route = newRoute('/a/', { splits });
  t.is(pickService(route, 0.5), 'old');
  t.is(pickService(route, 0.95), 'new');
  t.is(pickService(newRoute('/a/', { splits: [] }), 0.5), null);
});

test('only complete events of a stream are forwarded', (t) => {
  // An engine stops in the middle of an event. The partial event would be joined to the events of
  // the next engine.
  const split = newEventSplitter();
  const first = split(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
  t.is(first.bytes.toString(), 'id: 1\ndata: a\n\n');
  t.is(first.lastId, '1');
  t.true(first.pendingBytes > 0);
  const second = split(Buffer.from('ta: b\n\n'));
  t.is(second.bytes.toString(), 'id: 2\ndata: b\n\n');
  t.is(second.lastId, '2');
  t.is(second.pendingBytes, 0);
});

test('the homes of a route and of a customer both bind', (t) => {
  // Guards against a request that leaves the regions of one of them since the other allows it.
  const effective = buildEffective(
    newSettings(1, {
      customers: [
        { name: 'museum', keys: ['k1'], priority: null, share: 1, homes: ['eu', 'us'] },
        { name: 'airport', keys: ['k2'], priority: null, share: 1, homes: null },
      ],
    }),
  );
  const homesFor = (homes: string[] | null, customer: string | null): string[] | null => {
    const found = findHomes(effective, newRoute('/a/', { homes }), customer);
    return found && [...found];
  };
  t.is(homesFor(null, 'airport'), null);
  t.is(homesFor(null, null), null);
  t.deepEqual(homesFor(null, 'museum'), ['eu', 'us']);
  t.deepEqual(homesFor(['us', 'asia'], 'airport'), ['us', 'asia']);
  t.deepEqual(homesFor(['us', 'asia'], 'museum'), ['us']);
  t.deepEqual(homesFor(['asia'], 'museum'), []);
});

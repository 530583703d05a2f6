import isEvacuationRecord from '@cyclamengate/adapter/isEvacuationRecord';
import parseNamedVersion from '@cyclamengate/adapter/parseNamedVersion';
import parseOperatorSettings from '@cyclamengate/adapter/parseOperatorSettings';
import parseUpstream from '@cyclamengate/adapter/parseUpstream';
import type { Peers } from '@cyclamengate/batches/newPeers';
import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { OddValues } from '@cyclamengate/common/newOddValues';
import type { NewestVersion } from '@cyclamengate/engines/findDueLoads';
import type { Directory } from '@cyclamengate/engines/newDirectory';
import type { Evacuations } from '@cyclamengate/engines/newEvacuations';
import wasStoreAway from '@cyclamengate/engines/wasStoreAway';
import type { SettingsView } from '@cyclamengate/gateway/newSettingsView';
import newKeyedFollower from '@cyclamengate/store/newKeyedFollower';
import newTopicFollower from '@cyclamengate/store/newTopicFollower';
import type Store from '@cyclamengate/store/Store';
import type { KeyedRecord } from '@cyclamengate/store/Store';

const OPERATOR_TOPIC = 'keyed.op';
const UPSTREAMS_TOPIC = 'keyed.servers';
const SETTINGS_KEY = 'config';
const VERSION_PREFIX = 'version/';
const EVACUATION_PREFIX = 'evacuate/';
/** Settings changes must take effect within 2 s; upstreams update their entries every 1.2 s. */
const SETTINGS_READ_INTERVAL_MS = 40;
const UPSTREAMS_READ_INTERVAL_MS = 200;
/** A read that was lost in a network partition holds up the next for this and the store's timeout. */
const READ_WAIT_MS = 500;
/** Without a new record, settings are as old as two reads that waited for this. */
const MAX_SETTINGS_READ_WAIT_MS = 800;
/** Above the age that two reads give, so that peers are only asked while the store does not answer. */
const MAX_SETTINGS_AGE_MS = 2_000;
const PEER_ASK_INTERVAL_MS = 1_000;
const HISTORY_TIMEOUT_MS = 5_000;

export interface FollowPlatformOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  oddValues: OddValues;
  settingsView: SettingsView;
  directory: Directory;
  evacuations: Evacuations;
  peers: Pick<Peers, 'fetchNewerSettings' | 'fetchEvacuations'>;
  /** Factor by which the time between reads grows with the number of hosts. */
  readIntervalFactor: () => number;
  /** How often upstreams write their entries. */
  upstreamWriteIntervalMs: number;
}

/** Follows the operator's settings, the newest version of each model and the list of upstreams. */
const followPlatform = (options: FollowPlatformOptions) => {
  const { clock, log, store, settingsView, directory, evacuations, peers } = options;
  const { oddValues, readIntervalFactor, upstreamWriteIntervalMs } = options;
  const versions = new Map<string, NewestVersion>();
  /** Whether the newest settings in the store can't be read, so that others may know newer ones. */
  let areNewestUnreadable = false;
  /** Whether a record can't be read that an older one may make up for. */
  let isHistoryNeeded = false;

  /** @returns whether the settings can be read */
  const applySettings = (value: Buffer, from: string): boolean => {
    const settings = parseOperatorSettings(value);
    if (settings.ok) settingsView.put(settings.val, value.toString());
    else {
      const problems = settings.val.slice(0, 5);
      oddValues.reject('settings', 'settings.unreadable', { from, problems });
    }
    return settings.ok;
  };

  const applyNewestSettings = ({ offset }: KeyedRecord, value: Buffer): void => {
    areNewestUnreadable = !applySettings(value, `offset ${offset}`);
    isHistoryNeeded ||= areNewestUnreadable && settingsView.read() === null;
  };

  const applyVersion = ({ key, offset }: KeyedRecord, value: Buffer): void => {
    const named = parseNamedVersion(value);
    const model = key.slice(VERSION_PREFIX.length);
    // A record under the key of another model would stand in that model's way for good.
    if (named?.model !== model) {
      isHistoryNeeded ||= !versions.has(model);
      oddValues.reject('versions', 'version.unreadable', { offset });
      return;
    }
    if (named.version <= (versions.get(model)?.version ?? 0)) return;
    versions.set(model, { ...named, learnedAt: clock.now() });
    log.info('version.named', { ...named, offset });
  };

  /** An unreadable record changes nothing: it says neither that the domain is used nor that not. */
  const applyEvacuation = ({ key, value, offset }: KeyedRecord): void => {
    const failureDomain = key.slice(EVACUATION_PREFIX.length);
    const isReadable = value === null || isEvacuationRecord(value);
    if (failureDomain === '' || !isReadable) {
      isHistoryNeeded ||= failureDomain !== '' && !evacuations.isKnown(failureDomain);
      oddValues.reject('evacuations', 'evacuation.unreadable', { failureDomain, offset });
      return;
    }
    evacuations.apply({ failureDomain, isEvacuated: value !== null, offset }, 'store');
  };

  /** Settings and versions only rise, and evacuations know their offsets: none is applied over a newer one. */
  const applyOperatorRecord = (record: KeyedRecord): void => {
    const { key, value } = record;
    if (key.startsWith(EVACUATION_PREFIX)) applyEvacuation(record);
    if (value === null) return;
    if (key === SETTINGS_KEY) applyNewestSettings(record, value);
    if (key.startsWith(VERSION_PREFIX)) applyVersion(record, value);
  };

  const applyUpstream = ({ key, value }: KeyedRecord): void => {
    if (value === null) {
      directory.remove(key);
      return;
    }
    const entry = parseUpstream(key, value, clock.now());
    if (entry.ok) directory.put(entry.val);
    else {
      const problems = entry.val.slice(0, 3);
      oddValues.reject('upstreams', 'upstream.unreadable', { upstream: key, problems });
    }
  };

  const readWaitMs = (): number => READ_WAIT_MS * readIntervalFactor();

  const operatorFollower = newKeyedFollower({
    clock,
    log,
    store,
    topic: OPERATOR_TOPIC,
    oddValues,
    source: 'settings',
    readIntervalMs: () => SETTINGS_READ_INTERVAL_MS,
    readWaitMs: () => Math.min(MAX_SETTINGS_READ_WAIT_MS, readWaitMs()),
    apply: applyOperatorRecord,
  });
  const upstreamsFollower = newKeyedFollower({
    clock,
    log,
    store,
    topic: UPSTREAMS_TOPIC,
    oddValues,
    source: 'upstreams',
    readIntervalMs: () => UPSTREAMS_READ_INTERVAL_MS * readIntervalFactor(),
    readWaitMs,
    apply: applyUpstream,
    onRecovered: (gap) => {
      if (wasStoreAway(gap, upstreamWriteIntervalMs)) directory.startGracePeriod();
    },
  });

  /** The older records of the operator, as far as the store still has them. */
  const history = newTopicFollower({
    clock,
    log,
    store,
    topic: OPERATOR_TOPIC,
    apply: (records) =>
      records.forEach((record) => {
        const keyed = store.parseKeyed(record);
        const { offset } = record;
        if (keyed) oddValues.apply('settings', { offset }, () => applyOperatorRecord(keyed));
      }),
  });

  /**
   * A host that starts while the newest record can't be read knows no older one. It would never be
   * ready, take old weights for the newest, or use an evacuated domain.
   */
  const readHistory = async (): Promise<void> => {
    log.warn('settings.history-read', { inForce: settingsView.version() });
    isHistoryNeeded = !(await history.catchUp(clock.now() + HISTORY_TIMEOUT_MS));
  };

  /** Evacuations first: with its settings a host becomes ready. */
  const learnFromPeers = async (): Promise<void> => {
    const known = await peers.fetchEvacuations();
    known.forEach((evacuation) => evacuations.apply(evacuation, 'peer'));
    const sources = await peers.fetchNewerSettings(settingsView.version());
    sources.forEach((source) => applySettings(Buffer.from(source), 'peer'));
  };

  /**
   * A host that alone does not reach the store would accept withdrawn keys and use evacuated domains
   * until it does, although its peers know better.
   */
  const askOthers = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const next = clock.now() + PEER_ASK_INTERVAL_MS;
      const isStale = clock.now() >= operatorFollower.freshAt() + MAX_SETTINGS_AGE_MS;
      if (isStale || areNewestUnreadable) await learnFromPeers();
      if (isHistoryNeeded) await readHistory();
      await clock.sleepUntil(next, signal);
    }
  };

  return {
    run: async (signal: AbortSignal): Promise<void> => {
      await Promise.all([
        operatorFollower.run(signal),
        upstreamsFollower.run(signal),
        askOthers(signal),
      ]);
    },
    /** The newest version of a model that its trainer has published; 1 before the first. */
    newestVersion: (model: string): NewestVersion =>
      versions.get(model) ?? { model, version: 1, learnedAt: -Infinity },
  };
};

export default followPlatform;

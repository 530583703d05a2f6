import parseNamedVersion from '@cyclamengate/adapter/parseNamedVersion';
import parseOperatorSettings from '@cyclamengate/adapter/parseOperatorSettings';
import parseUpstream from '@cyclamengate/adapter/parseUpstream';
import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { NewestVersion } from '@cyclamengate/engines/findDueLoads';
import type { Directory } from '@cyclamengate/engines/newDirectory';
import type { SettingsView } from '@cyclamengate/gateway/newSettingsView';
import newKeyedFollower from '@cyclamengate/store/newKeyedFollower';
import type Store from '@cyclamengate/store/Store';
import type { KeyedRecord } from '@cyclamengate/store/Store';

const OPERATOR_TOPIC = 'keyed.op';
const UPSTREAMS_TOPIC = 'keyed.servers';
const SETTINGS_KEY = 'config';
const VERSION_PREFIX = 'version/';
/** Settings changes must take effect within 2 s; upstreams update their entries every 1.2 s. */
const SETTINGS_READ_INTERVAL_MS = 40;
const UPSTREAMS_READ_INTERVAL_MS = 200;
/** A read that was lost in a network partition holds up the next for this and the store's timeout. */
const READ_WAIT_MS = 500;

export interface FollowPlatformOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  settingsView: SettingsView;
  directory: Directory;
  /** Factor by which the time between reads grows with the number of hosts. */
  readIntervalFactor: () => number;
}

/** Follows the operator's settings, the newest version of each model and the list of upstreams. */
const followPlatform = (options: FollowPlatformOptions) => {
  const { clock, log, store, settingsView, directory, readIntervalFactor } = options;
  const versions = new Map<string, NewestVersion>();

  const applySettings = (value: Buffer, offset: number): void => {
    const settings = parseOperatorSettings(value);
    if (settings.ok) settingsView.put(settings.val);
    else log.error('settings.unreadable', { offset, problems: settings.val.slice(0, 5) });
  };

  const applyVersion = (value: Buffer, offset: number): void => {
    const named = parseNamedVersion(value);
    if (!named) {
      log.error('version.unreadable', { offset });
      return;
    }
    if (named.version <= (versions.get(named.model)?.version ?? 0)) return;
    versions.set(named.model, { ...named, learnedAt: clock.now() });
    log.info('version.named', { ...named, offset });
  };

  const applyOperatorRecord = ({ key, value, offset }: KeyedRecord): void => {
    if (value === null) return;
    if (key === SETTINGS_KEY) applySettings(value, offset);
    else if (key.startsWith(VERSION_PREFIX)) applyVersion(value, offset);
  };

  const applyUpstream = ({ key, value }: KeyedRecord): void => {
    if (value === null) {
      directory.remove(key);
      return;
    }
    const entry = parseUpstream(key, value);
    if (entry.ok) directory.put(entry.val);
    else log.warn('upstream.unreadable', { upstream: key, problems: entry.val.slice(0, 3) });
  };

  const readWaitMs = (): number => READ_WAIT_MS * readIntervalFactor();

  const operatorFollower = newKeyedFollower({
    clock,
    log,
    store,
    topic: OPERATOR_TOPIC,
    readIntervalMs: () => SETTINGS_READ_INTERVAL_MS,
    readWaitMs,
    apply: applyOperatorRecord,
  });
  const upstreamsFollower = newKeyedFollower({
    clock,
    log,
    store,
    topic: UPSTREAMS_TOPIC,
    readIntervalMs: () => UPSTREAMS_READ_INTERVAL_MS * readIntervalFactor(),
    readWaitMs,
    apply: applyUpstream,
    onRecovered: directory.startGracePeriod,
  });

  return {
    run: async (signal: AbortSignal): Promise<void> => {
      await Promise.all([operatorFollower.run(signal), upstreamsFollower.run(signal)]);
    },
    /** The newest version of a model that its trainer has published; 1 before the first. */
    newestVersion: (model: string): NewestVersion =>
      versions.get(model) ?? { model, version: 1, learnedAt: -Infinity },
  };
};

export default followPlatform;

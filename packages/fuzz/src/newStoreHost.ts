import followPlatform from '@cyclamengate/app-host/followPlatform';
import newBatchStore from '@cyclamengate/app-host/newBatchStore';
import newCoordination from '@cyclamengate/app-host/newCoordination';
import newCrashSharing from '@cyclamengate/app-host/newCrashSharing';
import type Clock from '@cyclamengate/common/Clock';
import type { EventFields, EventLog } from '@cyclamengate/common/newEventLog';
import newMetrics from '@cyclamengate/common/newMetrics';
import newOddValues from '@cyclamengate/common/newOddValues';
import newCrashHistory from '@cyclamengate/engines/newCrashHistory';
import newDirectory from '@cyclamengate/engines/newDirectory';
import newEvacuations from '@cyclamengate/engines/newEvacuations';
import newTestMemory from '@cyclamengate/fakes/newTestMemory';
import newSettingsView from '@cyclamengate/gateway/newSettingsView';
import newUsageMeter from '@cyclamengate/hosts/newUsageMeter';
import type Store from '@cyclamengate/store/Store';
import { CUSTOMER, FIRST_WINDOW, LEASE_SUBJECT, MODEL } from './goodRecords.js';
import type { StorePart } from './storeScript.js';
import type { StoreView } from './storeOracle.js';

export const LEASE_MS = 3_000;
const WINDOW_MS = 60_000;
const BATCH_RETENTION_MS = 40_000;
const READ_TIMEOUT_MS = 300;
const NAMES = [0, 1, 2];
const MODELS = NAMES.map((index) => `${MODEL}-${index}`);
const ZONES = ['detroit', 'toledo', 'flint'];
const DIGESTS = ['d0', 'd1'];
const CRASHED = NAMES.map((index) => `i-${index}@1`);

/** The product's readers of one part of the store. */
interface Reader {
  run: (signal: AbortSignal) => Promise<unknown>;
  /** Reads what `run` does not follow. */
  readRest?: () => Promise<unknown>;
  view: () => StoreView;
  /** Starts to claim the lease; @returns whether this host holds it. */
  startLease?: (signal: AbortSignal) => () => boolean;
}

interface ReaderOptions {
  clock: Clock;
  store: Store;
  log: EventLog;
  oddValues: ReturnType<typeof newOddValues>;
  host: string;
}

const newPlatformReader = (options: ReaderOptions): Reader => {
  const { clock, log } = options;
  const settingsView = newSettingsView(log);
  const directory = newDirectory(clock, log);
  const evacuations = newEvacuations({ clock, log });
  const platform = followPlatform({
    ...options,
    settingsView,
    directory,
    evacuations,
    peers: { fetchNewerSettings: async () => [], fetchEvacuations: async () => [] },
    readIntervalFactor: () => 1,
  });
  const view = (): StoreView => {
    const entries = directory.entries();
    const [key] = settingsView.read()?.customersByKey.keys() ?? [];
    return {
      decisions: new Map<string, unknown>([
        ...entries.map((entry): [string, unknown] => [
          `engine ${entry.id}`,
          [
            ...[entry.service, `${entry.host}:${entry.port}`, entry.failureDomain, entry.slots],
            entry.isDraining ? 'draining' : 'ready',
          ],
        ]),
        ['config', [settingsView.version(), key]],
        ...MODELS.map((model): [string, unknown] => [
          `version/${model}`,
          platform.newestVersion(model).version,
        ]),
        ...ZONES.map((zone): [string, unknown] => [
          `evacuate/${zone}`,
          evacuations.isEvacuated(zone),
        ]),
      ]),
      addresses: entries.map(({ id, host, port }) => [id, `${host}:${port}`]),
    };
  };
  return { run: platform.run, view };
};

const newCrashReader = (options: ReaderOptions): Reader => {
  const history = newCrashHistory(options.clock);
  const sharing = newCrashSharing({
    ...options,
    incarnation: options.host,
    history,
    peers: { exchangeCrashes: async () => [] },
    isFresh: () => true,
    isOwner: () => false,
    readIntervalFactor: () => 1,
  });
  const view = (): StoreView => {
    const keys = DIGESTS.flatMap((digest) =>
      CRASHED.map((upstream) => [digest, upstream] as const),
    );
    return {
      decisions: new Map(
        keys.map(([digest, upstream]) => [
          `${digest}/${upstream}`,
          history.upstreamsOf(digest).includes(upstream),
        ]),
      ),
      addresses: [],
    };
  };
  return { run: sharing.run, view };
};

const newCoordinationReader = (options: ReaderOptions): Reader => {
  const { clock, log, host } = options;
  const meter = newUsageMeter({ clock, log, metrics: newMetrics(), windowMs: WINDOW_MS });
  const coordination = newCoordination({
    ...options,
    incarnation: `${host}-1`,
    failureDomain: 'detroit',
    regions: {},
    address: '10.2.0.1:7000',
    cores: 2,
    leaseMs: LEASE_MS,
    meter,
    readRunningCounts: () => ({}),
    isLeaving: () => false,
  });
  const { members, usage, tasks } = coordination;
  const windows = NAMES.map((index) => FIRST_WINDOW + index);
  /** What hosts read many times a second; an odd member must not break it. */
  const readAll = (): void => {
    members.runningElsewhere();
    members.paces();
    members.demandElsewhere();
    members.hostLoads();
    members.selectPacesToShare({});
    coordination.owns('batch', null);
  };
  return {
    run: (signal) => Promise.all([tasks.follow(signal), tasks.sendHeartbeats(signal)]),
    startLease: (signal) => {
      const lease = coordination.newLease(LEASE_SUBJECT, null);
      lease.run(signal);
      return () => lease.hold(0) !== null;
    },
    view: () => {
      readAll();
      const live = members.live();
      return {
        decisions: new Map<string, unknown>([
          ...live.map((member): [string, unknown] => [`member ${member.host}`, member.address]),
          ...windows.flatMap((window): [string, unknown][] => [
            [`count ${window}`, usage.sum(window)[CUSTOMER] ?? 0],
            [`closed ${window}`, usage.isClosed(window)],
            [`reported ${window}`, usage.oldestUnreported()?.window !== window],
          ]),
        ]),
        addresses: live.map(({ address }) => ['member', address]),
      };
    },
  };
};

const newBatchReader = (options: ReaderOptions): Reader => {
  const { clock, host } = options;
  const { batches, run, readParts } = newBatchStore({
    ...options,
    memory: newTestMemory(),
    incarnation: `${host}-1`,
    retentionMs: BATCH_RETENTION_MS,
    readIntervalFactor: () => 1,
  });
  const describe = (id: string): [string, unknown][] => {
    const state = batches.get(id);
    if (!state) return [];
    const { items, results, isEnded, executor, finished } = state;
    const unfinished = [...items.keys()].filter((item) => !finished.has(item));
    return [
      [`batch ${id}`, [...items.keys()]],
      [`end ${id}`, isEnded],
      [`executor ${id}`, executor?.host ?? null],
      ...results.map((result): [string, unknown] => [`result ${result.item}`, result.state]),
      ...unfinished.map((item): [string, unknown] => [
        `text ${item}`,
        batches.findText(item)?.progress.events ?? null,
      ]),
    ];
  };
  return {
    run,
    readRest: () => readParts(clock.now() + READ_TIMEOUT_MS),
    view: () => ({
      decisions: new Map(NAMES.flatMap((index) => describe(`b${index}`))),
      addresses: [],
    }),
  };
};

const READERS: Record<StorePart, (options: ReaderOptions) => Reader> = {
  upstreams: newPlatformReader,
  operator: newPlatformReader,
  crashes: newCrashReader,
  coordination: newCoordinationReader,
  batches: newBatchReader,
};

/** Runs the product's readers of one part of the store, and notes what they throw and log. */
const newStoreHost = (part: StorePart, clock: Clock, store: Store, host: string) => {
  const errors: string[] = [];
  const controller = new AbortController();
  let longestLine = 0;
  let loggedBytes = 0;

  const write = (event: string, fields: EventFields = {}): void => {
    const line = JSON.stringify({ event, ...fields });
    longestLine = Math.max(longestLine, line.length);
    loggedBytes += line.length;
    // The line of an error that was thrown where a value was applied.
    if (event === 'value.broken') errors.push(`broken by a value: ${String(fields.error)}`);
  };
  const log: EventLog = { info: write, warn: write, error: write };

  const oddValues = newOddValues(clock, log, newMetrics());
  const reader = READERS[part]({ clock, store, log, oddValues, host });
  let hasEnded = false;
  const done = reader
    .run(controller.signal)
    .catch((error: unknown) => errors.push(`reader stopped: ${String(error)}`))
    .finally(() => {
      if (!controller.signal.aborted) hasEnded = true;
    });

  return {
    errors: (): string[] => [...errors, ...(hasEnded ? ['reader ended'] : [])],
    readRest: async (): Promise<void> => {
      await reader.readRest?.();
    },
    view: reader.view,
    startLease: (): (() => boolean) => reader.startLease?.(controller.signal) ?? (() => true),
    longestLine: (): number => longestLine,
    loggedBytes: (): number => loggedBytes,
    /** The clock has to advance until this resolves. */
    stop: async (): Promise<void> => {
      controller.abort();
      await done;
    },
  };
};

export type StoreHost = ReturnType<typeof newStoreHost>;

export default newStoreHost;

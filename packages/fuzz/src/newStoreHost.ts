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
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';
import newTestMemory from '@cyclamengate/fakes/newTestMemory';
import newSettingsView from '@cyclamengate/gateway/newSettingsView';
import newUsageMeter from '@cyclamengate/hosts/newUsageMeter';
import type Store from '@cyclamengate/store/Store';
import { CUSTOMER, FIRST_WINDOW, LEASE_SUBJECT, MODEL } from './goodRecords.js';
import type { StoreView } from './storeOracle.js';
import type { Effect, StorePart } from './storeScript.js';

export const LEASE_MS = 3_000;
/** Longer, and a line was written that has a record of another program in it as a whole. */
const MAX_LINE_LENGTH = 16_384;
const MAX_LOGGED_BYTES = 262_144;
const WINDOW_MS = 60_000;
const BATCH_RETENTION_MS = 40_000;
const READ_TIMEOUT_MS = 300;
const INDEXES = [0, 1, 2];
const MODELS = INDEXES.map((index) => `${MODEL}-${index}`);
const ZONES = ['detroit', 'toledo', 'flint'];
const CRASHED = INDEXES.map((index) => `i-${index}@1`);
const readIntervalFactor = (): number => 1;

/** The product's readers of one part of the store. */
interface Reader {
  run: (signal: AbortSignal) => Promise<unknown>;
  /** Reads what `run` does not follow. */
  readRest?: () => Promise<unknown>;
  decisions: () => Effect[];
  /** All addresses that the host would call, with the names that these calls would bear. */
  addresses?: () => StoreView['addresses'];
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

const describeEngine = (entry: UpstreamEntry): Effect => {
  const { id, service, host, port, failureDomain, slots, isDraining } = entry;
  const state = isDraining ? 'draining' : 'ready';
  return [`engine ${id}`, [service, `${host}:${port}`, failureDomain, slots, state]];
};

const newPlatformReader = (options: ReaderOptions): Reader => {
  const { clock, log } = options;
  const settingsView = newSettingsView(log);
  const directory = newDirectory(clock, log);
  const evacuations = newEvacuations({ clock, log });
  const peers = { fetchNewerSettings: async () => [], fetchEvacuations: async () => [] };
  const views = { settingsView, directory, evacuations, peers, upstreamWriteIntervalMs: 1_200 };
  const { run, newestVersion } = followPlatform({ ...options, ...views, readIntervalFactor });
  return {
    run,
    decisions: () => [
      ...directory.entries().map(describeEngine),
      ['config', [settingsView.version(), settingsView.read()?.settings.customers?.[0]?.keys[0]]],
      ...MODELS.map((model): Effect => [`version/${model}`, newestVersion(model).version]),
      ...ZONES.map((zone): Effect => [`evacuate/${zone}`, evacuations.isEvacuated(zone)]),
    ],
    addresses: () => directory.entries().map(({ id, host, port }) => [id, `${host}:${port}`]),
  };
};

const newCrashReader = (options: ReaderOptions): Reader => {
  const history = newCrashHistory(options.clock);
  const { run } = newCrashSharing({
    ...{ ...options, incarnation: options.host, history, readIntervalFactor },
    peers: { exchangeCrashes: async () => [] },
    isFresh: () => true,
    isOwner: () => false,
  });
  const describe = (digest: string): Effect[] =>
    CRASHED.map((upstream) => [
      `${digest}/${upstream}`,
      history.upstreamsOf(digest).includes(upstream),
    ]);
  return { run, decisions: () => ['d0', 'd1'].flatMap(describe) };
};

const newCoordinationReader = (options: ReaderOptions): Reader => {
  const { clock, log, host } = options;
  const coordination = newCoordination({
    ...{ ...options, incarnation: `${host}-1`, failureDomain: 'detroit', regions: {}, cores: 2 },
    ...{ address: '10.2.0.1:7000', leaseMs: LEASE_MS },
    meter: newUsageMeter({ clock, log, metrics: newMetrics(), windowMs: WINDOW_MS }),
    readRunningCounts: () => ({}),
    isLeaving: () => false,
  });
  const { members, usage, tasks, owns, newLease } = coordination;
  // Made before anything is read, as a host makes its leases: claims for others are passed over.
  const lease = newLease(LEASE_SUBJECT, null);
  /** What hosts read many times a second; an odd member must not break it. */
  const readAll = (): void => {
    [members.runningElsewhere, members.paces, members.demandElsewhere].forEach((read) => read());
    members.hostLoads();
    members.selectPacesToShare({});
    owns('batch', null);
  };
  const describeWindow = (window: number): Effect[] => [
    [`count ${window}`, usage.sum(window)[CUSTOMER] ?? 0],
    [`closed ${window}`, usage.isClosed(window)],
    [`reported ${window}`, usage.oldestUnreported()?.window !== window],
  ];
  return {
    run: (signal) => Promise.all([tasks.follow(signal), tasks.sendHeartbeats(signal)]),
    startLease: (signal) => {
      void lease.run(signal);
      return () => lease.hold(0) !== null;
    },
    decisions: () => {
      readAll();
      return [
        ...members.live().map((member): Effect => [`member ${member.host}`, member.address]),
        ...INDEXES.flatMap((index) => describeWindow(FIRST_WINDOW + index)),
      ];
    },
    addresses: () => members.live().map(({ address }) => ['member', address]),
  };
};

const newBatchReader = (options: ReaderOptions): Reader => {
  const { batches, run, readParts } = newBatchStore({
    ...{
      ...options,
      memory: newTestMemory(),
      incarnation: `${options.host}-1`,
      readIntervalFactor,
    },
    retentionMs: BATCH_RETENTION_MS,
  });
  const describe = (id: string): Effect[] => {
    const state = batches.get(id);
    if (!state) return [];
    const items = [...state.items.keys()];
    const textOf = (item: string): Effect => [
      `text ${item}`,
      batches.findText(item)?.progress.events ?? null,
    ];
    return [
      [`batch ${id}`, items],
      [`end ${id}`, state.isEnded],
      [`executor ${id}`, state.executor?.host ?? null],
      ...state.results.map((result): Effect => [`result ${result.item}`, result.state]),
      ...items.filter((item) => !state.finished.has(item)).map(textOf),
    ];
  };
  return {
    run,
    readRest: () => readParts(options.clock.now() + READ_TIMEOUT_MS),
    decisions: () => INDEXES.flatMap((index) => describe(`b${index}`)),
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
  const errors = new Set<string>();
  const controller = new AbortController();
  let loggedBytes = 0;

  const write = (event: string, fields: EventFields = {}): void => {
    const { length } = JSON.stringify({ event, ...fields });
    loggedBytes += length;
    if (length > MAX_LINE_LENGTH) errors.add(`a line of ${length} characters: ${event}`);
    if (loggedBytes > MAX_LOGGED_BYTES) errors.add('too many lines');
    // The line of an error that was thrown where a value was applied.
    if (event === 'value.broken') errors.add(`broken by a value: ${String(fields.error)}`);
  };
  const log: EventLog = { info: write, warn: write, error: write };

  const oddValues = newOddValues(clock, log, newMetrics());
  const reader = READERS[part]({ clock, store, log, oddValues, host });
  const done = reader
    .run(controller.signal)
    .catch((error: unknown) => errors.add(`reader stopped: ${String(error)}`))
    .finally(() => !controller.signal.aborted && errors.add('reader ended'));

  return {
    errors: (): string[] => [...errors],
    readRest: async (): Promise<unknown> => reader.readRest?.(),
    view: (): StoreView => ({
      decisions: new Map(reader.decisions()),
      addresses: reader.addresses?.() ?? [],
    }),
    startLease: (): (() => boolean) => reader.startLease?.(controller.signal) ?? (() => true),
    /** The clock has to advance until this resolves. */
    stop: async (): Promise<void> => {
      controller.abort();
      await done;
    },
  };
};

export type StoreHost = ReturnType<typeof newStoreHost>;

export default newStoreHost;

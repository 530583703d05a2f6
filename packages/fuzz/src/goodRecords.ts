import type { Effect, Fact, StorePart } from './storeScript.js';

/** A well-formed record and what it says. */
export interface GoodRecord extends Fact {
  topic: string;
  key: string;
  /** Null deletes the key. */
  record: object | null;
}

/** Turns drawn numbers into the next well-formed record of a part; the records fit one another. */
export type GoodRecordSource = (choice: number, index: number) => GoodRecord;

/** Stands for the offset of the newest claim, which is known only when the record is written. */
export const PREVIOUS_CLAIM = -7_777;
/** Window of the usage reports in which the scripts play. */
export const FIRST_WINDOW = 30_000_000;
export const WALL_TIME = 1_800_000_000_000;
export const LEASE_SUBJECT = 'usage';
/** The customer of well-formed records; counts of any other come from odd ones. */
export const CUSTOMER = 'huka270';
export const MODEL = 'daka510000';
const SERVICES = ['portal', 'models', 'portal'];
const ZONES = ['detroit', 'toledo', 'flint'];

const newUpstreamRecords = (): GoodRecordSource => {
  let sequence = 0;
  return (choice, index) => {
    const key = `i-${index}`;
    const topic = 'keyed.servers';
    if (choice === 0) return { topic, key, record: null, effects: [[`engine ${key}`, null]] };
    sequence += 1;
    const [service, zone] = [SERVICES[index], ZONES[index]];
    const address = `10.0.${index}.1:${8_000 + index}`;
    const state = choice === 1 ? 'draining' : 'ready';
    const record = {
      ...{ service, address, zone, version: '1.2', slots: choice, state, seq: sequence },
      ...{ 'cold-remaining-ms': 0, born: WALL_TIME - index, spot: false, leaves_ms: 0 },
      models: [{ name: MODEL, version: 1 }],
    };
    const effects: Effect[] = [[`engine ${key}`, [service, address, zone, choice, state]]];
    return { topic, key, record, effects };
  };
};

const newManifest = (version: number, key: string): object => {
  const route = { name: 'lookups', host: 'ficu95.example', 'path-prefix': '/lookup/' };
  return {
    version,
    routes: [{ ...route, kind: 'idempotent', 'timeout-ms': 1_500, priority: 1, service: 'portal' }],
    services: [
      { name: 'portal', 'max-connections': 100, 'cold-s': 2, 'cold-per-s': 10 },
      { name: 'models', engine: { models: [{ name: MODEL }] }, autoscale: { min: 1, max: 2 } },
    ],
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 1_048_576 },
    tenants: [{ name: CUSTOMER, 'api-keys': [key], priority: 1 }],
  };
};

const newOperatorRecords = (): GoodRecordSource => {
  const topic = 'keyed.op';
  const named = new Map<string, number>();
  let version = 0;
  return (choice, index) => {
    if (choice <= 2) {
      version += 1 + index;
      const record = newManifest(version, `key-${version}`);
      return { topic, key: 'config', record, effects: [['config', [version, `key-${version}`]]] };
    }
    if (choice <= 4) {
      const model = `${MODEL}-${index}`;
      const next = (named.get(model) ?? 1) + 1;
      named.set(model, next);
      const key = `version/${model}`;
      return { topic, key, record: { model, version: next }, effects: [[key, next]] };
    }
    const key = `evacuate/${ZONES[index]}`;
    return { topic, key, record: choice <= 6 ? {} : null, effects: [[key, choice <= 6]] };
  };
};

const newCrashRecords = (): GoodRecordSource => (choice, index) => {
  const [digest, upstream] = [`d${choice % 2}`, `i-${index}@1`];
  const key = `${digest}/${upstream}`;
  const crash = { digest, upstream, endedAt: WALL_TIME - 1_000, weight: 1, work: 'call' };
  const record = choice <= 1 ? null : crash;
  return { topic: 'keyed.crashes', key, record, effects: [[key, record !== null]] };
};

const newCoordinationRecords = (): GoodRecordSource => {
  const topic = 'coordination';
  const numbers = new Map<string, number>();
  let holder: string | null = null;

  const takeNumber = (of: string): number => {
    numbers.set(of, (numbers.get(of) ?? 0) + 1);
    return numbers.get(of) ?? 0;
  };

  const newHeartbeat = (index: number, isLeaving: boolean): GoodRecord => {
    const host = `g${index}`;
    const number = takeNumber(host);
    const address = `10.1.0.${index}:7000`;
    const window = FIRST_WINDOW + index;
    const record = {
      ...{ type: 'heartbeat', host, incarnation: `${host}-1`, number },
      ...{ failureDomain: ZONES[index], address, cores: 2, isLeaving, running: { 'i-0': 1 } },
      ...{ demand: { portal: 1 }, paces: { 'i-0': 1.5 }, countedThrough: FIRST_WINDOW },
      usage: { [window]: { [CUSTOMER]: number } },
    };
    const effects: Effect[] = [
      [`member ${host}`, isLeaving ? null : address],
      [`count ${window}`, number],
    ];
    return { topic, key: host, record, effects };
  };

  const newClaim = (index: number, isReleased: boolean): GoodRecord => {
    const host: string = holder ?? `g${index}`;
    holder = isReleased ? null : host;
    const number = takeNumber(`claims of ${host}`);
    const record = {
      ...{ type: 'lease', subject: LEASE_SUBJECT, host, incarnation: `${host}-1`, number },
      ...{ previous: PREVIOUS_CLAIM, isReleased },
    };
    return { topic, key: 'lease', record, effects: [['holder', holder]] };
  };

  return (choice, index) => {
    const window = FIRST_WINDOW + index;
    if (choice <= 3) return newHeartbeat(index, choice === 0);
    if (choice <= 5) return newClaim(index, choice === 5 && holder !== null);
    const isClose = choice === 6;
    const record = isClose
      ? { type: 'usage-close', window, counts: { [CUSTOMER]: 3 } }
      : { type: 'usage-reported', window };
    return {
      ...{ topic, key: 'usage', record },
      effects: [[`${isClose ? 'closed' : 'reported'} ${window}`, true]],
    };
  };
};

const newHead = (id: string, items: string[]): object => ({
  ...{ type: 'batch-head', id, customer: CUSTOMER, route: 'rounds', hostName: 'ficu95.example' },
  ...{ acceptedAt: WALL_TIME, step: 7, model: MODEL, leastVersion: 1, wantedGroups: 1 },
  items: items.map((item) => ({
    ...{ id: item, group: 'a', expectedTokens: 40, digest: `digest-${item}`, segment: 0 },
  })),
  segments: [{ topic: 'texts-0', offset: 0, count: 1, bytes: 100 }],
});

const newBatchRecords = (): GoodRecordSource => {
  const unfinished = new Map<string, string[]>();
  const begun = new Set<string>();
  const writers = new Map<string, { writer: string; events: string[] }>();
  let writerCount = 0;

  const newResult = (item: string, state: string): Pick<GoodRecord, 'record' | 'effects'> => ({
    record: {
      ...{ type: 'result', batch: item.slice(0, 2), item, state, versions: [1], score: '3e1b' },
      text: { topic: 'texts-0', offset: 1, count: 1, bytes: 10, rest: [] },
    },
    effects: [
      [`result ${item}`, state],
      [`text ${item}`, undefined],
    ],
  });

  const newPart = (item: string, isNewWriter: boolean): GoodRecord => {
    const known = isNewWriter ? undefined : writers.get(item);
    if (!known) writerCount += 1;
    const { writer, events: earlier } = known ?? { writer: `w${writerCount}`, events: [] };
    const from = earlier.length;
    const events = [`${writer} event ${from}`, `${writer} event ${from + 1}`];
    writers.set(item, { writer, events: [...earlier, ...events] });
    const record = {
      ...{ type: 'part', batch: item.slice(0, 2), item, writer, from, events },
      ...{ lastEventId: String(from + 2), versions: [1], isWhole: false },
    };
    const effects: Effect[] = [[`text ${item}`, [...earlier, ...events]]];
    const batch = item.slice(0, 2);
    const isFirst: Effect = [`batch ${batch}`, [`${batch}-0`, `${batch}-1`]];
    const requires: Effect = from === 0 ? isFirst : [`text ${item}`, earlier];
    return { topic: 'parts', key: item, record, effects, requires };
  };

  return (choice, index) => {
    const id = `b${index}`;
    const items = [`${id}-0`, `${id}-1`];
    const [item] = unfinished.get(id) ?? [];
    const common = { topic: 'batches', key: id, requires: [`batch ${id}`, items] as Effect };
    if (choice === 0 || !item) {
      if (!unfinished.has(id)) unfinished.set(id, [...items]);
      const effects: Effect[] = [[`batch ${id}`, items]];
      return { topic: 'batches', key: id, record: newHead(id, items), effects };
    }
    if (choice === 1) {
      const record = { type: 'batch-end', batch: id };
      return { ...common, record, effects: [[`end ${id}`, true]] };
    }
    if (choice === 2 && !begun.has(id)) {
      begun.add(id);
      const host = `g${index}`;
      const record = { type: 'batch-begun', batch: id, host, incarnation: `${host}-1`, from: null };
      return { ...common, record, effects: [[`executor ${id}`, host]] };
    }
    if (choice > 3) return newPart(item, choice === 4);
    unfinished.get(id)?.shift();
    return { ...common, ...newResult(item, index > 0 ? 'completed' : 'abandoned') };
  };
};

const SOURCES: Record<StorePart, () => GoodRecordSource> = {
  upstreams: newUpstreamRecords,
  operator: newOperatorRecords,
  crashes: newCrashRecords,
  coordination: newCoordinationRecords,
  batches: newBatchRecords,
};

/** Well-formed records of one part of the store, as the first of a script. */
const newGoodRecords = (part: StorePart): GoodRecordSource => SOURCES[part]();

export default newGoodRecords;

import type { Heartbeat } from './coordinationRecord.js';

type Fields = Record<string, unknown>;

const isText = (value: unknown): value is string => typeof value === 'string';

const isCount = (value: unknown): boolean => Number.isSafeInteger(value);

const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** An own property of this name is left to the schema, which drops it. */
const isPlainKey = (key: string): boolean => key !== '__proto__';

const isRecordOf = (value: unknown, isValid: (member: unknown) => boolean): boolean =>
  isFields(value) && Object.keys(value).every((key) => isPlainKey(key) && isValid(value[key]));

const isUsageCounts = (value: unknown): boolean =>
  isRecordOf(value, (count) => isCount(count) && Number(count) >= 0);

const hasValidTexts = ({ host, incarnation, failureDomain, address }: Fields): boolean =>
  isText(host) && isText(incarnation) && isText(failureDomain) && isText(address);

const hasValidNumbers = ({ number, cores, countedThrough }: Fields): boolean =>
  isCount(number) && Number.isFinite(cores) && Number(cores) >= 0 && isCount(countedThrough);

const hasValidLoad = ({ running, demand, paces }: Fields): boolean =>
  isRecordOf(running, isCount) &&
  (demand === undefined || isRecordOf(demand, isCount)) &&
  (paces === undefined || isRecordOf(paces, Number.isFinite));

/**
 * Reads a heartbeat without its schema, as strictly: each host reads those of the whole fleet, and a host
 * that starts reads thousands of them.
 * @returns null for everything else, also for what only the schema can judge
 */
const readHeartbeat = (raw: unknown): Heartbeat | null => {
  if (!isFields(raw) || raw.type !== 'heartbeat') return null;
  const { isLeaving, usage } = raw;
  const isValid =
    hasValidTexts(raw) &&
    hasValidNumbers(raw) &&
    hasValidLoad(raw) &&
    typeof isLeaving === 'boolean' &&
    isRecordOf(usage, isUsageCounts);
  if (!isValid) return null;
  const heartbeat = raw as Heartbeat;
  return {
    type: 'heartbeat',
    host: heartbeat.host,
    incarnation: heartbeat.incarnation,
    number: heartbeat.number,
    failureDomain: heartbeat.failureDomain,
    address: heartbeat.address,
    cores: heartbeat.cores,
    isLeaving: heartbeat.isLeaving,
    running: heartbeat.running,
    ...(heartbeat.demand && { demand: heartbeat.demand }),
    ...(heartbeat.paces && { paces: heartbeat.paces }),
    usage: heartbeat.usage,
    countedThrough: heartbeat.countedThrough,
  };
};

export default readHeartbeat;

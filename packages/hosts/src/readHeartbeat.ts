import { isAddress } from '@cyclamengate/common/address';
import {
  MAX_CORES,
  MAX_COUNT,
  MAX_NAME_LENGTH,
  MAX_WINDOW,
  WINDOW_NAME,
} from './coordinationRecord.js';
import type { Heartbeat } from './coordinationRecord.js';

type Fields = Record<string, unknown>;

const isName = (value: unknown): boolean =>
  typeof value === 'string' && value.length >= 1 && value.length <= MAX_NAME_LENGTH;

const isIntegerWithin = (value: unknown, least: number, greatest: number): boolean =>
  Number.isSafeInteger(value) && Number(value) >= least && Number(value) <= greatest;

const isCount = (value: unknown): boolean => isIntegerWithin(value, 0, MAX_COUNT);

const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** An own property of this name is left to the schema, which drops it. */
const isPlainKey = (key: string): boolean => key !== '__proto__';

const isRecordOf = (value: unknown, isValid: (member: unknown) => boolean): boolean =>
  isFields(value) && Object.keys(value).every((key) => isPlainKey(key) && isValid(value[key]));

const isUsageCounts = (value: unknown): boolean => isRecordOf(value, isCount);

const isUsage = (value: unknown): boolean =>
  isRecordOf(value, isUsageCounts) &&
  Object.keys(value as Fields).every((window) => WINDOW_NAME.test(window));

const hasValidTexts = ({ host, incarnation, failureDomain, address }: Fields): boolean =>
  isName(host) &&
  isName(incarnation) &&
  isName(failureDomain) &&
  typeof address === 'string' &&
  isAddress(address);

const hasValidNumbers = ({ number, cores, countedThrough }: Fields): boolean =>
  isCount(number) &&
  Number.isFinite(cores) &&
  Number(cores) >= 0 &&
  Number(cores) <= MAX_CORES &&
  isIntegerWithin(countedThrough, -1, MAX_WINDOW);

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
    isUsage(usage);
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

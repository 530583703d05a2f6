import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import { PREVIOUS_CLAIM, WALL_TIME } from './goodRecords.js';
import newScriptedStore from './newScriptedStore.js';
import newStoreHost, { LEASE_MS } from './newStoreHost.js';
import type { StoreHost } from './newStoreHost.js';
import { checkSame, checkView, computeExpected } from './storeOracle.js';
import { TOPICS, isKeyed, isWrite } from './storeScript.js';
import type { Step, StorePart, StoreScript, Write } from './storeScript.js';

/** Above the longest time between two reads of any topic. */
const READ_MS = 220;
/** A host claims a lease this long after it may at the latest. */
const CLAIM_MS = 4_000;
/** Far above what a script takes beside other load; a script that hangs takes longer. */
const MAX_SCRIPT_MS = 20_000;

const isExpiry = ({ type }: Step): boolean => type === 'expire';

const isLog = (part: StorePart): boolean => !TOPICS[part].every(isKeyed);

/** The steps of which a host that starts at the end of a script reads the records. */
const retainedSteps = ({ part, steps }: StoreScript): Step[] => {
  const lastExpiry = steps.findLastIndex(isExpiry);
  return isLog(part) && lastExpiry >= 0 ? steps.slice(lastExpiry + 1) : steps;
};

const writeClaims = (body: Buffer, newestClaim: number): Buffer => {
  const text = body.toString();
  const placeholder = `"previous":${PREVIOUS_CLAIM}`;
  return text.includes(placeholder)
    ? Buffer.from(text.replace(placeholder, `"previous":${newestClaim}`))
    : body;
};

const checkHost = (host: StoreHost, steps: Step[], isLate: boolean): string[] => {
  const faults = [
    ...host.errors(),
    ...checkView(host.view(), computeExpected(steps), isLate || steps.some(isExpiry)),
  ];
  return faults.map((fault) => `${isLate ? 'late host' : 'follower'}: ${fault}`);
};

/** Checks the lease: nobody takes it from its holder, and its own record is all that holds it. */
const checkLease = async (
  host: StoreHost,
  steps: Step[],
  advance: (ms: number) => Promise<void>,
): Promise<string[]> => {
  const holder = computeExpected(steps).decisions.get('holder') ?? null;
  const isHeld = host.startLease();
  await advance(1_000);
  const isTaken = holder !== null && isHeld();
  await advance(LEASE_MS + CLAIM_MS);
  return [
    ...(isTaken ? [`the lease is taken from ${String(holder)}`] : []),
    ...(isHeld() ? [] : ['the lease is claimed by nobody']),
  ];
};

/**
 * Plays a script: one host follows the store from its start, another starts at the end.
 * @returns what was wrong
 */
const playStoreScript = async (script: StoreScript): Promise<string[]> => {
  const { part, steps } = script;
  const startedAt = performance.now();
  const clock = newManualClock(WALL_TIME);
  const { store, write, expire } = newScriptedStore();
  const follower = newStoreHost(part, clock, store, 'reader-0');
  let newestClaim = -1;

  const writeStep = ({ topic, bodies, fact }: Write): void => {
    const offset = write(
      topic,
      bodies.map((body) => writeClaims(body, newestClaim)),
    );
    if (fact?.effects.some(([name]) => name === 'holder')) newestClaim = offset + bodies.length - 1;
  };

  /** A log's records are read before they expire; of keyed ones the newest are always kept. */
  const read = async (): Promise<void> => {
    await clock.advance(READ_MS);
    await follower.readRest();
  };

  await clock.advance(1);
  for (const step of steps) {
    if (isWrite(step)) writeStep(step);
    else if (step.type === 'read') await read();
    else {
      if (isLog(part)) await read();
      TOPICS[part].forEach(expire);
    }
  }
  await read();
  const late = newStoreHost(part, clock, store, 'reader-1');
  await clock.advance(READ_MS);
  await follower.readRest();
  await late.readRest();
  const faults = [
    ...checkHost(follower, steps, false),
    ...checkHost(late, retainedSteps(script), true),
    ...(retainedSteps(script) === steps
      ? checkSame(follower.view(), late.view(), computeExpected(steps))
      : []),
  ];
  if (part === 'coordination') faults.push(...(await checkLease(follower, steps, clock.advance)));
  const stops = [follower.stop(), late.stop()];
  await clock.advance(READ_MS);
  await Promise.all(stops);
  const tookMs = performance.now() - startedAt;
  return tookMs > MAX_SCRIPT_MS ? [...faults, `took ${Math.round(tookMs)} ms`] : faults;
};

export default playStoreScript;

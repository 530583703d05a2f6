import type { ExecutionContext } from 'ava';
import { sleep, waitUntil } from './newHosts.js';
import type { TestHost } from './newHosts.js';

/** Small beside a start, so that some of the signals come in each part of it. */
const DELAY_STEP_MS = 15;
const MAX_STARTS = 100;

/** What became of a process that got a signal as it started. */
export interface SignalledStart {
  delayMs: number;
  code: number | null;
  signal: NodeJS.Signals | null;
  /** Whether it had written a line of its log. */
  hasLog: boolean;
  isStarted: boolean;
}

const isGone = ({ child }: TestHost): boolean =>
  child.exitCode !== null || child.signalCode !== null;

/**
 * Starts processes and sends each of them a signal, each a little later, until one has started before it.
 * @param settle waits until the process has done what the signal asks for
 */
const signalStarts = async (
  t: ExecutionContext,
  start: (name: string) => Promise<TestHost>,
  signal: NodeJS.Signals,
  settle: (host: TestHost) => Promise<void>,
): Promise<SignalledStart[]> => {
  const starts: SignalledStart[] = [];
  while (!starts.some(({ isStarted }) => isStarted) && starts.length < MAX_STARTS) {
    const delayMs = starts.length * DELAY_STEP_MS;
    const host = await start(`early-${starts.length}`);
    await sleep(delayMs);
    const isStarted = host.events.some(({ event }) => event === 'process.started');
    host.child.kill(signal);
    await settle(host);
    const { exitCode: code, signalCode } = host.child;
    const hasLog = host.events.length > 0;
    starts.push({ delayMs, code, signal: signalCode, hasLog, isStarted });
    await host.end('SIGKILL');
  }
  const count = (isMet: (start: SignalledStart) => boolean): number => starts.filter(isMet).length;
  t.log(
    `${starts.length} starts, ${count((s) => s.signal === signal)} before the first instruction,`,
    `${count((s) => s.signal === null && !s.isStarted)} during the start`,
  );
  return starts;
};

/** A process that ends by the signal itself has not come to its first instruction. */
export const stopStarts = async (
  t: ExecutionContext,
  start: (name: string) => Promise<TestHost>,
): Promise<void> => {
  const starts = await signalStarts(t, start, 'SIGTERM', (host) => waitUntil(() => isGone(host)));
  const unclean = starts.filter(
    ({ code, signal, hasLog }) => code !== 0 && (signal !== 'SIGTERM' || hasLog),
  );
  t.deepEqual(unclean, []);
  t.true(starts.some(({ code, isStarted }) => code === 0 && !isStarted));
};

/** A process that gets SIGHUP goes on with its start. */
export const reloadStarts = async (
  t: ExecutionContext,
  start: (name: string) => Promise<TestHost>,
): Promise<void> => {
  const starts = await signalStarts(t, start, 'SIGHUP', (host) =>
    waitUntil(() => isGone(host) || host.events.some(({ event }) => event === 'process.started')),
  );
  const ended = starts.filter(({ code, signal, hasLog }) => code !== null || (signal && hasLog));
  t.deepEqual(ended, []);
  const survived = starts.filter(({ signal, isStarted }) => signal === null && !isStarted);
  t.true(survived.length > 0);
};

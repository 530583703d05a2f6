import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import newMetrics from '@cyclamengate/common/newMetrics';
import newSeededRandom from '@cyclamengate/fakes/newSeededRandom';
import newAdmittedRelay from '../src/newAdmittedRelay.js';
import newPlaceReader from '../src/newPlaceReader.js';
import newPlainAdmissions from '../src/newPlainAdmissions.js';
import newPlainRelay from '../src/newPlainRelay.js';
import type { RelayOutcome } from '../src/relayOutcome.js';
import type { ShareSettings } from '../src/newServicePlaces.js';
import newSettingsView from '../src/newSettingsView.js';
import type { WorkClass } from '../src/workClasses.js';
import { answering, newRequest, newUpstreams, silentLog } from './helpers.js';
import type { Behaviour } from './helpers.js';

export const SLOTS = 6;
const SHARES: ShareSettings = { reservedPart: 0.25, floorPart: 0.05, maxWaiting: 512 };
export const neverAborted: AbortSignal = new AbortController().signal;

/** An upstream with some slots and a queue; the path of a request ends with its work in milliseconds. */
const newSlotUpstream = (clock: Clock) => {
  const waiting: (() => void)[] = [];
  const state = { running: 0, served: 0 };
  const behave: Behaviour = async (request, signal) => {
    if (state.running >= SLOTS) {
      await new Promise<void>((resolve) => {
        waiting.push(resolve);
      });
    } else state.running += 1;
    await clock.sleepUntil(clock.now() + Number(request.path.split('/').at(-1)));
    state.served += 1;
    const next = waiting.shift();
    if (next) next();
    else state.running -= 1;
    const outcome = await answering(['ok'])(request, signal);
    if (outcome.type === 'answer') {
      const { running } = state;
      outcome.answer.load = { running, waiting: waiting.length, slots: SLOTS, pace: null };
    }
    return outcome;
  };
  return { behave, state, countWaiting: () => waiting.length };
};

export interface Call {
  customer: string;
  workMs: number;
  workClass?: WorkClass;
  timeoutMs?: number;
  acceptedAt?: number;
  signal?: AbortSignal;
}

export interface HostsOptions {
  customerShares?: Record<string, number>;
  shares?: ShareSettings;
  log?: EventLog;
}

/** Several hosts that use the same upstreams of one service; heartbeats are sent by `beat`. */
export const newPlainHosts = (
  clock: Clock,
  upstreamCount: number,
  { customerShares = {}, shares = SHARES, log = silentLog }: HostsOptions = {},
) => {
  const upstreams = Array.from({ length: upstreamCount }, () => newSlotUpstream(clock));
  const behaviours = Object.fromEntries(
    upstreams.map(({ behave }, index) => [`u${index}`, behave]),
  );
  const demands = new Map<string, Record<string, number>>();
  const running = new Map<string, Record<string, number>>();
  const view = newSettingsView(silentLog);
  let version = 0;
  const putShares = (weights: Record<string, number>): void => {
    version += 1;
    const customers = Object.entries(weights).map(([name, share]) => ({
      name,
      keys: [],
      priority: null,
      share,
      homes: null,
    }));
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    view.put({ version, routes: [], services: [], limits, customers });
  };
  putShares(customerShares);

  const random = newSeededRandom(7);

  const newHost = (name: string) => {
    const parts = newUpstreams(clock, behaviours);
    const relay = newPlainRelay({ clock, log: silentLog, random, ...parts });
    const metrics = newMetrics();
    const admissions = newPlainAdmissions({
      clock,
      log,
      metrics,
      shares,
      reader: newPlaceReader({
        clock,
        regions: {},
        reservedPart: shares.reservedPart,
        evacuations: { isEvacuated: () => false },
        coldLimits: { remaining: () => Number.POSITIVE_INFINITY },
        ...parts,
      }),
      readOtherDemand: () =>
        [...demands].filter(([other]) => other !== name).map(([, demand]) => demand),
      readSettings: view.read,
      random,
    });
    const admittedRelay = newAdmittedRelay(admissions, relay);
    const toRequest = ({ customer, workMs, timeoutMs = 10_000 }: Call) =>
      newRequest(clock, { customer, path: `/work/${workMs}`, deadline: clock.now() + timeoutMs });
    /** @returns the outcome and how long it took */
    const call = async (options: Call): Promise<{ outcome: RelayOutcome; tookMs: number }> => {
      const { workClass = 'urgent', signal = neverAborted } = options;
      const startedAt = clock.now();
      const outcome = await admittedRelay(toRequest(options), workClass, signal);
      return { outcome, tookMs: clock.now() - startedAt };
    };
    const score = (options: Call, onStart = (): void => {}) =>
      admissions.run(
        {
          requestId: 's1',
          service: 'portal',
          homes: null,
          customer: options.customer,
          workClass: 'background',
          deadline: Number.POSITIVE_INFINITY,
          order: options.acceptedAt ?? 0,
        },
        (crowded) => {
          onStart();
          const request = { ...toRequest(options), minHedgeDelayMs: 5_000, crowded };
          return relay(request, neverAborted);
        },
        options.signal ?? neverAborted,
      );
    parts.loads.setRemoteLoads(() => {
      const counts = new Map<string, number>();
      [...running]
        .filter(([other]) => other !== name)
        .flatMap(([, byUpstream]) => Object.entries(byUpstream))
        .forEach(([id, count]) => counts.set(id, (counts.get(id) ?? 0) + count));
      return counts;
    });
    const beat = (): void => {
      running.set(name, parts.loads.countAllLocal());
      demands.set(name, admissions.demand());
    };
    return { call, score, beat, admissions, metrics, ...parts };
  };

  return {
    newHost,
    putShares,
    /** A host's heartbeats have expired. */
    forget: (name: string): void => {
      demands.delete(name);
      running.delete(name);
    },
    countRunning: (): number => upstreams.reduce((sum, { state }) => sum + state.running, 0),
    countWaiting: (): number =>
      upstreams.reduce((sum, { countWaiting }) => sum + countWaiting(), 0),
    countServed: (): number => upstreams.reduce((sum, { state }) => sum + state.served, 0),
  };
};

/** Repeats calls at a fixed interval until a time; @returns all of them once they have ended. */
export const repeat = async <T>(
  clock: Clock,
  intervalMs: number,
  until: number,
  run: () => Promise<T>,
): Promise<T[]> => {
  const calls: Promise<T>[] = [];
  for (let at = clock.now(); at < until; at += intervalMs) {
    await clock.sleepUntil(at);
    calls.push(run());
  }
  return Promise.all(calls);
};

export const percentile99 = (values: number[]): number =>
  [...values].sort((left, right) => left - right)[Math.ceil(values.length * 0.99) - 1] ?? 0;

import newMetrics from '@cyclamengate/common/newMetrics';
import newCrashGuard from '@cyclamengate/engines/newCrashGuard';
import newCrashHistory from '@cyclamengate/engines/newCrashHistory';
import soleTrials from '@cyclamengate/engines/soleTrials';
import UpstreamClient from '@cyclamengate/engines/UpstreamClient';
import type { UpstreamOutcome, UpstreamRequest } from '@cyclamengate/engines/UpstreamClient';
import { getIncarnationKey } from '@cyclamengate/engines/upstreamEntry';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newPlainRelay from '../src/newPlainRelay.js';
import { answering, newEntry, newRequest, newUpstreams, silentLog } from './helpers.js';

const UPSTREAMS = 3;
const HOSTS = 4;
const SLOTS = 6;
const WORK_MS = 40;
const CRASH_AFTER_MS = 55;
const DOWN_MS = 1_200;
const LOOKUP_INTERVAL_MS = 100;
const DEADLY_INTERVAL_MS = 3_500;
const PLAYED_MS = 40_000;
const STEP_MS = 5;
const TARGET_MS = 190;
/** Time until another host knows what one host has written. */
const SHARING_MS = 150;
/** Callers wait as they are told, up to a third of the time that they have left. */
const MAX_CALLER_WAIT_MS = 400;
const DEADLY_BODY = 'deadly';

interface Upstream {
  entry: UpstreamEntry;
  running: number;
  downUntil: number;
}

/** Upstreams that a request with the deadly body crashes, and that start again after a while. */
const newService = (clock: ManualClock) => {
  const upstreams: Upstream[] = Array.from({ length: UPSTREAMS }, (_, index) => ({
    entry: { ...newEntry(`portal-${index}`), host: `10.0.0.${index}`, slots: SLOTS },
    running: 0,
    downUntil: -Infinity,
  }));
  const state = { ended: 0, mostDown: 0 };
  const find = ({ id }: UpstreamEntry): Upstream =>
    upstreams.find(({ entry }) => entry.id === id) as Upstream;
  const isDown = ({ downUntil }: Upstream): boolean => clock.now() < downUntil;

  const crash = (upstream: Upstream): void => {
    state.ended += 1;
    upstream.downUntil = clock.now() + DOWN_MS;
    upstream.running = 0;
    upstream.entry = { ...upstream.entry, startedAt: upstream.entry.startedAt + 1 };
    state.mostDown = Math.max(state.mostDown, upstreams.filter(isDown).length);
  };

  const notRun = (isUnreachable: boolean): UpstreamOutcome => ({
    type: 'fault',
    fault: { type: 'not-run', reason: 'refused', isUnreachable, load: null },
  });

  class ServiceClient extends UpstreamClient {
    async send(
      entry: UpstreamEntry,
      request: UpstreamRequest,
      _firstByteDeadline: number,
      signal: AbortSignal,
    ): Promise<UpstreamOutcome> {
      const upstream = find(entry);
      if (isDown(upstream)) return notRun(true);
      if (upstream.running >= SLOTS) return notRun(false);
      const incarnation = getIncarnationKey(upstream.entry);
      const isDeadly = request.body.toString() === DEADLY_BODY;
      upstream.running += 1;
      await clock.sleepUntil(clock.now() + (isDeadly ? CRASH_AFTER_MS : WORK_MS));
      if (incarnation !== getIncarnationKey(upstream.entry)) {
        return { type: 'fault', fault: { type: 'unknown', reason: 'reset' } };
      }
      upstream.running -= 1;
      if (!isDeadly) return answering(['ok'])(request, signal);
      crash(upstream);
      return { type: 'fault', fault: { type: 'unknown', reason: 'reset' } };
    }

    async hasEnded(entry: UpstreamEntry): Promise<boolean> {
      return isDown(find(entry));
    }

    heldUntil(): null {
      return null;
    }

    isConnected(): boolean {
      return true;
    }

    closeConnections(): void {}
  }
  return { upstreams, state, isDown, client: new ServiceClient() };
};

/** Hosts that relay to the service; each learns of the others' crashes after a delay. */
const newRelays = (clock: ManualClock, service: ReturnType<typeof newService>) => {
  const histories = Array.from({ length: HOSTS }, () => newCrashHistory(clock));
  const later = async (apply: () => void): Promise<void> => {
    await clock.sleepUntil(clock.now() + SHARING_MS);
    apply();
  };
  const relays = histories.map((history) => {
    const others = histories.filter((other) => other !== history);
    history.onAdded((crash) => later(() => others.forEach(({ merge }) => merge(crash))));
    history.onAnswered((crashes) =>
      later(() =>
        crashes.forEach(({ digest, upstream }) =>
          others.forEach(({ remove }) => remove(digest, upstream)),
        ),
      ),
    );
    const { directory, ...parts } = newUpstreams(clock, {});
    service.upstreams.forEach(({ entry }) => directory.put(entry));
    const client = newCrashGuard({
      clock,
      log: silentLog,
      metrics: newMetrics(),
      client: service.client,
      directory,
      history,
      findPrompt: () => null,
      trials: soleTrials,
      onEnded: () => {},
    });
    const relay = newPlainRelay({ clock, log: silentLog, ...parts, client });
    return { relay, directory };
  });
  /** The list shows a successor once it has started. */
  const listStarted = (): void =>
    service.upstreams
      .filter((upstream) => !service.isDown(upstream))
      .forEach(({ entry }) => relays.forEach(({ directory }) => directory.put(entry)));
  return { relays, listStarted };
};

test('one deadly request does not take the service from other callers', async (t) => {
  // The caller of a request that crashes upstreams sends it to one host after the other, twice each
  // time, beside ten lookups a second. Guards against lookups that find no upstream.
  const clock = newManualClock();
  const service = newService(clock);
  const { relays, listStarted } = newRelays(clock, service);
  const { signal } = new AbortController();
  const served = { total: 0, inTime: 0 };

  const lookUp = async (index: number): Promise<void> => {
    const startedAt = clock.now();
    const request = newRequest(clock, { body: Buffer.from(`lookup ${index}`) });
    const outcome = await relays[index % HOSTS]?.relay(request, signal);
    served.total += 1;
    if (outcome?.type === 'answer' && clock.now() <= startedAt + TARGET_MS) served.inTime += 1;
  };

  const sendDeadly = async (index: number): Promise<void> => {
    const request = () => newRequest(clock, { body: Buffer.from(DEADLY_BODY) });
    const outcome = await relays[index % HOSTS]?.relay(request(), signal);
    const retryAfterMs = outcome?.type === 'refusal' ? outcome.refusal.retryAfterMs : null;
    await clock.sleepUntil(clock.now() + Math.min(MAX_CALLER_WAIT_MS, retryAfterMs ?? 0));
    await relays[(index + 1) % HOSTS]?.relay(request(), signal);
  };

  for (let time = 0; time < PLAYED_MS; time += STEP_MS) {
    if (time % LOOKUP_INTERVAL_MS === 0) lookUp(time / LOOKUP_INTERVAL_MS);
    if (time % DEADLY_INTERVAL_MS === 0) sendDeadly(time / DEADLY_INTERVAL_MS);
    listStarted();
    await clock.advance(STEP_MS);
  }
  await clock.advance(2_000);
  t.true(service.state.ended <= 6, `${service.state.ended} upstreams ended`);
  t.true(service.state.mostDown < UPSTREAMS, 'all upstreams were down at once');
  t.true(served.inTime / served.total >= 0.99, `${served.inTime} of ${served.total} in time`);
});

import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newSeededRandom from '@cyclamengate/fakes/newSeededRandom';
import chooseUpstream from '../src/chooseUpstream.js';
import newLoads from '../src/newLoads.js';
import newPaces from '../src/newPaces.js';
import type { UpstreamPace } from '../src/newPaces.js';
import { newEntry } from './helpers.js';

export interface PlayUpstream {
  id: string;
  /** Time that work takes there, relative to usual; may change with time. */
  paceAt: (now: number) => number;
  /** What it reports of this moment. */
  reportAt?: (now: number) => number | null;
}

export interface PlayCall {
  kind: string;
  usualMs: number;
}

interface RunningCall extends PlayCall {
  startedAt: number;
  endsAt: number;
  host: number;
}

export interface PlayOptions {
  upstreams: PlayUpstream[];
  slots: number;
  hosts: number;
  /** Changes what a host makes of an upstream's pace; for comparison. */
  describe?: (pace: UpstreamPace) => UpstreamPace;
}

/** Plays hosts that send calls to upstreams with slots and queues, in steps of a millisecond. */
const newPlay = ({ upstreams, slots, hosts, describe = (pace) => pace }: PlayOptions) => {
  const clock = newManualClock();
  const random = newSeededRandom(7);
  const entries = new Map(upstreams.map(({ id }) => [id, newEntry(id, { slots })]));
  const states = new Map(
    upstreams.map((upstream) => [
      upstream.id,
      { upstream, running: [] as RunningCall[], waiting: [] as RunningCall[] },
    ]),
  );
  const views = Array.from({ length: hosts }, () => {
    const loads = newLoads(clock);
    return { loads, paces: newPaces({ clock, loads, isListed: () => true }) };
  });
  const done: { upstream: string; kind: string; tookMs: number }[] = [];

  const choose = (host: number): string => {
    const view = views[host];
    const candidates = [...entries.values()].map((entry) => ({
      entry,
      load: view?.loads.estimate(entry.id) ?? 0,
      ...describe(view?.paces.describe(entry) ?? { pace: 1, lastingPace: 1 }),
      isBackedOff: false,
      isOwnDomain: true,
      isConnected: true,
      remainingStarts: Infinity,
    }));
    return chooseUpstream(candidates, random)?.entry.id ?? '';
  };

  const send = (host: number, call: PlayCall): string => {
    const id = choose(host);
    views[host]?.loads.begin(id);
    states.get(id)?.waiting.push({ ...call, startedAt: clock.now(), endsAt: Infinity, host });
    return id;
  };

  const finish = (id: string, call: RunningCall): void => {
    const state = states.get(id);
    const view = views[call.host];
    const entry = entries.get(id);
    if (!state || !view || !entry) return;
    const [running, waiting] = [state.running.length, state.waiting.length];
    const pace = state.upstream.reportAt?.(clock.now()) ?? null;
    view.loads.report(id, { running, waiting, slots, pace });
    const tookMs = clock.now() - call.startedAt;
    view.paces.record(entry, call.kind, tookMs, waiting > 0);
    view.loads.end(id);
    done.push({ upstream: id, kind: call.kind, tookMs });
  };

  const step = (): void => {
    clock.jump(1);
    states.forEach((state, id) => {
      const ended = state.running.filter(({ endsAt }) => endsAt <= clock.now());
      state.running = state.running.filter(({ endsAt }) => endsAt > clock.now());
      ended.forEach((call) => finish(id, call));
      while (state.running.length < slots && state.waiting.length > 0) {
        const [next] = state.waiting.splice(0, 1);
        const pace = state.upstream.paceAt(clock.now()) * (1 + 0.025 * state.running.length);
        if (next) state.running.push({ ...next, endsAt: clock.now() + next.usualMs * pace });
      }
    });
  };

  return { clock, views, random, done, send, step };
};

export default newPlay;

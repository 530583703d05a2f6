import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import newHealth from '@cyclamengate/engines/newHealth';
import newLoads from '@cyclamengate/engines/newLoads';
import UpstreamClient from '@cyclamengate/engines/UpstreamClient';
import type { UpstreamOutcome, UpstreamRequest } from '@cyclamengate/engines/UpstreamClient';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';
import newMetrics from '@cyclamengate/common/newMetrics';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newTestMemory from '@cyclamengate/fakes/newTestMemory';
import newSettingsView from '@cyclamengate/gateway/newSettingsView';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import type { Handover, ItemResult } from '../src/batchRecord.js';
import newBatches from '../src/newBatches.js';
import newBatchRunner from '../src/newBatchRunner.js';
import newPartialTexts from '../src/newPartialTexts.js';
import newRequestReader from '../src/newRequestReader.js';
import { eventLine, newCandidate, newLineReader, silentLog } from './helpers.js';

export const batchRoute: Route = {
  name: 'rounds',
  hostName: 'parts.example',
  pathPrefix: '/rounds/',
  kind: 'batch',
  isPublic: false,
  isStream: false,
  isResumable: true,
  isSingleVersion: false,
  maxUpstreams: 3,
  timeoutMs: 10_000,
  targetLatencyMs: 400,
  resultsDueMs: 7_500,
  retentionMs: 40_000,
  homes: null,
  priority: 1,
  splits: [{ service: 'models', weight: 1 }],
};

/** Creates the runner of one host, with an engine that generates two events for each item. */
const newRunnerHost = (route: Partial<Route> = {}) => {
  const clock = newManualClock();
  const parts = newPartialTexts(clock);
  const batches = newBatches({ clock, retentionMs: 120_000, parts });
  const view = newSettingsView(silentLog);
  const limits = { maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 };
  view.put({
    version: 1,
    routes: [{ ...batchRoute, ...route }],
    services: [],
    customers: null,
    limits,
  });
  const observed = {
    runs: [] as string[],
    upstreams: [] as string[],
    scored: [] as string[],
    results: [] as ItemResult[],
    handovers: [] as Handover[],
  };
  const state = {
    isFresh: true,
    isSlow: false,
    candidates: [newCandidate('a')],
    newestVersion: 1,
    engineVersion: 1,
    /** Calls of the next kind that throw instead. */
    brokenSends: 0,
    brokenScores: 0,
    engineStatus: 200,
  };
  /** Lets a slow engine continue when aborted. */
  const resumeEngine = new AbortController();

  async function* body(after: string | null, signal: AbortSignal): AsyncGenerator<Buffer> {
    if (after === null) yield Buffer.from(eventLine(1, 'one'));
    if (state.isSlow) {
      await new Promise((resolve) => {
        signal.addEventListener('abort', resolve);
        resumeEngine.signal.addEventListener('abort', resolve);
      });
      if (signal.aborted) throw new TruncatedAnswer('cut');
    }
    yield Buffer.from(eventLine(2, 'two'));
  }

  class FakeClient extends UpstreamClient {
    async send(
      { id }: UpstreamEntry,
      request: UpstreamRequest,
      _firstByteBy: number,
      signal: AbortSignal,
    ): Promise<UpstreamOutcome> {
      observed.runs.push(request.requestId);
      if (state.brokenSends > 0) {
        state.brokenSends -= 1;
        throw new Error('broken');
      }
      observed.upstreams.push(id);
      const head = { status: state.engineStatus, headers: {}, signature: 's', load: null };
      return {
        type: 'answer',
        answer: {
          ...head,
          isEventStream: true,
          hasLength: true,
          version: state.engineVersion,
          body: body(request.lastEventId, signal),
        },
      };
    }

    async hasEnded(): Promise<boolean> {
      return false;
    }

    heldUntil(): null {
      return null;
    }

    isConnected(): boolean {
      return true;
    }

    closeConnections(): void {}
  }

  const metrics = newMetrics();
  const runner = newBatchRunner({
    clock,
    log: silentLog,
    metrics,
    memory: newTestMemory(),
    batches,
    client: new FakeClient(),
    newEventReader: newLineReader,
    candidates: () => state.candidates,
    health: newHealth(clock, silentLog),
    loads: newLoads(clock),
    paces: { record: () => {} },
    scorer: async ({ id }) => {
      observed.scored.push(id);
      if (state.brokenScores > 0) {
        state.brokenScores -= 1;
        throw new Error('broken');
      }
      return { type: 'score', score: 'good' };
    },
    readSettings: view.read,
    isOwner: () => true,
    homesOf: () => null,
    mayWork: ({ isLogged }) => state.isFresh || !isLogged,
    isListed: () => true,
    newestVersion: () => state.newestVersion,
    incarnation: 'host-1',
    isLeaving: () => false,
    freshAt: clock.now,
    isLive: () => true,
    hasLeft: () => false,
    write: async (result) => {
      observed.results.push(result);
      batches.apply(result);
      return 'written';
    },
    writePart: async () => 'written',
    writeText: async (_batch, text) => ({ topic: text, offset: 0, count: 1, bytes: text.length }),
    readParts: async () => {},
    handOverTo: async (handover) => {
      observed.handovers.push(handover);
      return 'host-2';
    },
    requests: newRequestReader({
      clock,
      log: silentLog,
      memory: newTestMemory(),
      readTexts: async () => [],
    }),
  });
  const end = new AbortController();
  const running = runner.run(end.signal);
  const close = async (): Promise<void> => {
    end.abort();
    await clock.advance(500);
    await running;
  };
  return { clock, metrics, batches, parts, observed, state, resumeEngine, runner, close };
};

export default newRunnerHost;

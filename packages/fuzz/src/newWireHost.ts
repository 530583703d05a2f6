import type { ServerResponse } from 'node:http';
import newHttpUpstreamClient from '@cyclamengate/adapter/newHttpUpstreamClient';
import newHttpWeightOrders from '@cyclamengate/adapter/newHttpWeightOrders';
import newSseReader from '@cyclamengate/adapter/newSseReader';
import runOnce from '@cyclamengate/batches/runOnce';
import newDeadlineSignal from '@cyclamengate/common/newDeadlineSignal';
import newMetrics from '@cyclamengate/common/newMetrics';
import newAnswerGuard from '@cyclamengate/engines/newAnswerGuard';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import newHealth from '@cyclamengate/engines/newHealth';
import newLoads from '@cyclamengate/engines/newLoads';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';
import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import newFastClock from '@cyclamengate/fakes/newFastClock';
import newStreamRelay from '@cyclamengate/gateway/newStreamRelay';
import newConnections from '@cyclamengate/upstreams/newConnections';
import type { WireReader } from './wireScript.js';

const CALL_MS = 4_000;
const MAX_RUNS = 3;
const FIRST_FAILURE_STATUS = 300;
/** All of them at one address; a relay tries one after the other. */
const UPSTREAMS = ['i-1', 'i-2', 'i-3'];
const SLOW_READ_MS = 5;
const silentLog = { info: () => {}, warn: () => {}, error: () => {} };
const neverAborted = new AbortController().signal;

/** What a call's caller got. */
export interface Reception {
  isSuccess: boolean;
  stamp: string | null;
  /** A plain body as far as it came, or the events. */
  text: string;
  events: string[];
}

const FAILED: Reception = { isSuccess: false, stamp: null, text: '', events: [] };

const newEntry = (port: number): UpstreamEntry => ({
  ...{ id: 'i-1', service: 'portal', host: '127.0.0.1', port, failureDomain: 'detroit', slots: 6 },
  ...{ isDraining: false, isSpot: false, startedAt: 1, coldUntil: -Infinity, models: [] },
});

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** The events of a stream that arrived as a whole; a part of one is kept, so that it is seen. */
const parseEvents = (text: string): string[] =>
  text
    .replace(/\r\n?/g, '\n')
    .split('\n\n')
    .map((event) => /^data: (.*)$/m.exec(event)?.[1] ?? event)
    .filter((event) => event !== '');

/** What a relay writes to its caller. */
const newCaller = () => {
  const got = { status: 0, stamp: null as string | null, text: '', isWhole: false };
  const response = {
    headersSent: false,
    writableLength: 0,
    writeHead: (status: number, headers: Record<string, string>): void => {
      Object.assign(got, { status, stamp: headers['server-stamp'] ?? null });
      response.headersSent = true;
    },
    write: (bytes: Buffer): void => {
      got.text += bytes.toString();
    },
    end: (): void => {
      got.isWhole = true;
    },
    destroy: (): void => {},
  };
  return { got, response: response as unknown as ServerResponse };
};

/** The product's readers of one upstream's answers. */
const newWireHost = (port: number) => {
  const clock = newFastClock();
  const connections = newConnections();
  const client = newAnswerGuard({
    log: silentLog,
    metrics: newMetrics(),
    client: newHttpUpstreamClient(clock, connections),
  });
  const orders = newHttpWeightOrders(silentLog, connections);
  const entry = newEntry(port);
  const health = newHealth(clock, silentLog);
  const loads = newLoads(clock);
  const state = { load: 0, pace: 1, lastingPace: 1, isBackedOff: false, isOwnDomain: true };
  const candidates = (_: string, tried: ReadonlySet<string> = new Set()): Candidate[] =>
    UPSTREAMS.filter((id) => !tried.has(id)).map((id) => ({
      ...{ ...state, entry: { ...entry, id }, isConnected: true, remainingStarts: 1 },
    }));
  const relay = newStreamRelay({ clock, log: silentLog, client, candidates, health, loads });

  const newRequest = (requestId: string) => ({
    ...{ requestId, method: 'POST', path: '/lookup/1', hostName: 'ficu95.example', headers: {} },
    ...{ body: Buffer.from('{}'), customer: 'huka270', lastEventId: null as string | null },
    deadline: clock.now() + CALL_MS,
  });

  const readPlain = async (id: string, isSlow: boolean): Promise<Reception> => {
    const request = newRequest(id);
    const deadline = newDeadlineSignal(clock, request.deadline);
    const outcome = await client.send(entry, request, request.deadline, deadline.signal);
    if (outcome.type === 'fault') return FAILED;
    const { status, signature, body } = outcome.answer;
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of body) {
        chunks.push(chunk);
        if (isSlow && chunks.length < 4) await sleep(SLOW_READ_MS);
      }
    } catch (error) {
      if (!(error instanceof TruncatedAnswer)) throw error;
      return FAILED;
    } finally {
      deadline.end();
    }
    const text = Buffer.concat(chunks).toString();
    return { isSuccess: status < FIRST_FAILURE_STATUS, stamp: signature, text, events: [] };
  };

  const readItem = async (id: string): Promise<Reception> => {
    const progress = { events: [] as string[], lastEventId: null as string | null, versions: [] };
    for (let run = 0; run < MAX_RUNS; run += 1) {
      const request = { ...newRequest(id), lastEventId: progress.lastEventId };
      const { type } = await runOnce({
        ...{ clock, client, newEventReader: newSseReader, entry, request, progress },
        ...{ isVersionAllowed: () => true, holdText: () => true, signal: neverAborted },
        ...{ onEvent: () => {}, onLoad: () => {}, onAccepted: () => {} },
      });
      if (type === 'whole') return { ...FAILED, ...progress, isSuccess: true };
    }
    return { ...FAILED, events: progress.events };
  };

  const readStream = async (id: string): Promise<Reception> => {
    const { got, response } = newCaller();
    const route = { service: 'portal', kind: 'rounds', homes: null, isIdempotent: true };
    const request = { ...newRequest(id), ...route, maxUpstreams: MAX_RUNS };
    await relay(request, response, neverAborted);
    const { status, stamp, text, isWhole } = got;
    const isSuccess = isWhole && status < FIRST_FAILURE_STATUS;
    return { isSuccess, stamp, text, events: parseEvents(text) };
  };

  const callOwn = async (isOrder: boolean): Promise<Reception> => {
    const deadline = newDeadlineSignal(clock, clock.now() + CALL_MS);
    const order = { entry, model: 'm', version: 2, afterOrders: 0, mustWaitForRuns: false };
    if (isOrder) await orders.place({ ...order, holder: 'h', fencingToken: 1 }, deadline.signal);
    else await orders.countAccepted(entry, deadline.signal);
    deadline.end();
    return FAILED;
  };

  return {
    call: (reader: WireReader, id: string): Promise<Reception> => {
      if (reader === 'item') return readItem(id);
      if (reader === 'stream') return readStream(id);
      if (reader === 'report' || reader === 'order') return callOwn(reader === 'order');
      return readPlain(id, reader === 'slow');
    },
    close: (): void => UPSTREAMS.forEach(connections.discardIdle),
  };
};

export default newWireHost;

import type Clock from '@cyclamengate/common/Clock';
import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import newDirectory from '@cyclamengate/engines/newDirectory';
import newHealth from '@cyclamengate/engines/newHealth';
import newLoads from '@cyclamengate/engines/newLoads';
import newPaces from '@cyclamengate/engines/newPaces';
import UpstreamClient from '@cyclamengate/engines/UpstreamClient';
import type { UpstreamOutcome, UpstreamRequest } from '@cyclamengate/engines/UpstreamClient';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';
import newCandidates from '../src/newCandidates.js';
import type { RelayedRequest } from '../src/newPlainAttempt.js';

export const silentLog = { info: () => {}, warn: () => {}, error: () => {} };

export const newEntry = (id: string): UpstreamEntry => ({
  id,
  service: 'portal',
  host: '10.0.0.1',
  port: 8_080,
  failureDomain: 'detroit',
  slots: 6,
  isDraining: false,
  isSpot: false,
  startedAt: 1,
  coldUntil: -Infinity,
  models: [],
});

/** Simulates an upstream's outcome for a request: an answer or a fault. */
export type Behaviour = (request: UpstreamRequest, signal: AbortSignal) => Promise<UpstreamOutcome>;

async function* yieldChunks(texts: string[], isTruncated: boolean): AsyncGenerator<Buffer> {
  for (const text of texts) yield Buffer.from(text);
  if (isTruncated) throw new TruncatedAnswer('reset');
}

export const answering =
  (
    texts: string[],
    { status = 200, isTruncated = false, version = null as number | null } = {},
  ): Behaviour =>
  async () => ({
    type: 'answer',
    answer: {
      status,
      headers: {},
      signature: 'signed',
      load: null,
      version,
      isEventStream: false,
      hasLength: true,
      body: yieldChunks(texts, isTruncated),
    },
  });

export const refusing: Behaviour = async () => ({
  type: 'fault',
  fault: { type: 'not-run', reason: 'full', isUnreachable: false, load: null },
});

export const breaking: Behaviour = async () => ({
  type: 'fault',
  fault: { type: 'unknown', reason: 'reset' },
});

export const holding =
  (retryAt: number): Behaviour =>
  async () => ({ type: 'fault', fault: { type: 'held', retryAt } });

/** Accepts the request and never answers; ends when the request is aborted. */
export const unresponsive: Behaviour = (_request, signal) =>
  new Promise((resolve) => {
    signal.addEventListener('abort', () =>
      resolve({ type: 'fault', fault: { type: 'unknown', reason: 'ended' } }),
    );
  });

/** Creates upstreams with the given behaviours, and the dependencies of a relay. */
export const newUpstreams = (clock: Clock, behaviours: Record<string, Behaviour>) => {
  const sent: { upstream: string; request: UpstreamRequest; signal: AbortSignal }[] = [];

  class FakeClient extends UpstreamClient {
    send(
      entry: UpstreamEntry,
      request: UpstreamRequest,
      _firstByteDeadline: number,
      signal: AbortSignal,
    ) {
      sent.push({ upstream: entry.id, request, signal });
      return (behaviours[entry.id] ?? refusing)(request, signal);
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
  const directory = newDirectory(clock, silentLog);
  Object.keys(behaviours).forEach((id) => directory.put(newEntry(id)));
  const health = newHealth(clock, silentLog);
  const loads = newLoads(clock);
  const paces = newPaces({ clock, loads, isListed: () => true });
  const candidates = newCandidates({
    regions: {},
    directory,
    evacuations: { isEvacuated: () => false },
    coldLimits: { remaining: () => Number.POSITIVE_INFINITY },
    health,
    loads,
    paces,
    failureDomain: 'detroit',
    isConnected: () => true,
  });
  return { sent, directory, health, loads, paces, candidates, client: new FakeClient() };
};

export const newRequest = (
  clock: Clock,
  changes: Partial<RelayedRequest> = {},
): RelayedRequest => ({
  requestId: 'r1',
  method: 'POST',
  path: '/lookup/1',
  hostName: 'parts.example',
  headers: {},
  body: Buffer.from('{}'),
  customer: 'museum',
  lastEventId: null,
  service: 'portal',
  kind: 'lookup',
  homes: null,
  isIdempotent: true,
  maxUpstreams: 3,
  deadline: clock.now() + 1_500,
  ...changes,
});

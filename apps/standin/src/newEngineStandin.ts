import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { HandlerRequest } from '@cyclamengate/common/handler';
import polka from 'polka';
import { z } from 'zod';
import type { EngineOptions } from './engineOptions.js';
import { readJson, withFaults } from './withFaults.js';
import newPrefixCache from './newPrefixCache.js';
import type { Fault, FaultSwitch, FaultSwitches } from './faultSwitches.js';

/** A prompt with this text crashes the engine that runs it. */
export const CRASH_MARKER = 'CRASH-THE-ENGINE';
/** Target of faults that apply to whichever upstream uses them first. */
export const ANY_UPSTREAM = 'any-upstream';
const MAX_LOAD_SAMPLES = 1_024;
/** With `gap-events` switched on, one of this many cache events is omitted. */
const EVENTS_PER_GAP = 3;
const PREFIX_CHARACTERS = 64;
const CALL_DELAY_MS = 5;

const generateSchema = z.object({
  requestId: z.string(),
  customer: z.string(),
  prompt: z.string(),
  prefix: z.array(z.string()),
  maxTokens: z.int(),
});

const weightsSchema = z.object({ trainer: z.string(), version: z.int(), fence: z.int() });

type Generate = z.infer<typeof generateSchema>;

export interface EngineStandinOptions extends EngineOptions {
  faults: FaultSwitches;
  /** Reserves one of the weight store's parallel loads; returns false if none is free. */
  reserveWeightLoad: () => boolean;
  onCrash: () => void;
}

/** A combined model engine, plain service and scoring service on its own port. */
const newEngineStandin = async (options: EngineStandinOptions) => {
  const { id, slots, faults } = options;
  let active = 0;
  let isLeaving = false;
  let fence = -1;
  const versions: Record<string, number> = {};
  const loading: Record<string, number> = {};
  const cache = newPrefixCache(options.prefixesCached);
  const loads: { at: number; active: number }[] = [{ at: -Infinity, active: 0 }];
  const orders: z.infer<typeof weightsSchema>[] = [];
  const served: { requestId: string; customer: string; headers: unknown; path: string }[] = [];

  /** Returns the fault's switch for this upstream or, failing that, for any upstream. */
  const useFault = (fault: Fault): FaultSwitch | null =>
    faults.use(id, fault) ?? faults.use(ANY_UPSTREAM, fault);

  const app = polka();
  const server = createServer((request, response) => app.handler(request as never, response));

  const crash = (): void => {
    server.close();
    server.closeAllConnections();
    options.onCrash();
  };

  const setActive = (count: number): void => {
    active = count;
    loads.push({ at: performance.now(), active });
    if (loads.length > MAX_LOAD_SAMPLES) loads.shift();
  };

  /** The current load, or an earlier one if `lag-load` is switched on. */
  const reportedActive = (): number => {
    const lagSwitch = useFault('lag-load');
    if (!lagSwitch) return active;
    const until = performance.now() - lagSwitch.delayMs;
    return loads.findLast(({ at }) => at <= until)?.active ?? 0;
  };

  const readEvents = async (request: HandlerRequest) => {
    const from = Number((request.query as { from?: string }).from ?? 0);
    const events = cache.read(from, useFault('late-events')?.delayMs ?? 0);
    const hasGaps = useFault('gap-events') !== null;
    const sent = events.filter(({ sequence }) => !hasGaps || sequence % EVENTS_PER_GAP !== 0);
    return { status: 200, body: { events: sent } };
  };

  const status = () => ({
    id,
    active: reportedActive(),
    slots,
    isLeaving,
    versions: { ...versions },
    loading: { ...loading },
  });

  const prefill = async (prompt: string): Promise<void> => {
    const isCached = cache.use(prompt.slice(0, PREFIX_CHARACTERS));
    if (!isCached) await sleep(options.prefillMs);
  };

  const newestVersion = (): number => Math.max(0, ...Object.values(versions));

  const stream = async (
    { requestId, prompt, prefix, maxTokens }: Generate,
    request: HandlerRequest,
    response: ServerResponse,
  ): Promise<void> => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const write = (event: unknown): boolean => response.write(`data: ${JSON.stringify(event)}\n\n`);
    const hasWrongId = useFault('cross-answers') !== null;
    const answerId = hasWrongId ? 'another-request' : requestId;
    const tokenText = hasWrongId ? ' somebody else' : ` ${prompt.length}`;
    const truncateSwitch = useFault('cut-answers');
    await prefill(prompt);
    let index = prefix.length;
    while (index < maxTokens && !response.destroyed) {
      if (truncateSwitch && index >= maxTokens / 2) {
        response.end();
        return;
      }
      if (prompt.includes(CRASH_MARKER) && index >= 1) {
        crash();
        return;
      }
      if (useFault('silent')) return;
      write({
        requestId: answerId,
        index,
        text: `${tokenText}.${index}`,
        version: newestVersion(),
      });
      index += 1;
      await sleep(options.tokenDelayMs);
    }
    write({ requestId: answerId, tokens: index, finishReason: 'length' });
    response.end();
  };

  const handleGenerate = async (request: HandlerRequest, response: ServerResponse) => {
    const wanted = await readJson(request, response, generateSchema);
    if (!wanted) return null;
    const { requestId, customer } = wanted;
    served.push({ requestId, customer, headers: request.headers, path: request.path });
    if (isLeaving || active >= slots * 2) return { status: 503, body: { error: 'not run' } };
    setActive(active + 1);
    try {
      await stream(wanted, request, response);
    } finally {
      setActive(active - 1);
    }
    return null;
  };

  const loadVersion = async (trainer: string, version: number): Promise<void> => {
    loading[trainer] = version;
    await sleep(options.loadMs);
    delete loading[trainer];
    if (useFault('fail-swap')) delete versions[trainer];
    else versions[trainer] = version;
  };

  const handleWeightOrder = async (request: HandlerRequest, response: ServerResponse) => {
    const wanted = await readJson(request, response, weightsSchema);
    if (!wanted) return null;
    const isStale = wanted.fence < fence && !useFault('ignore-fence');
    orders.push(wanted);
    if (isStale) return { status: 409, body: { error: `fence ${fence} is newer` } };
    fence = Math.max(fence, wanted.fence);
    if (!options.reserveWeightLoad())
      return { status: 429, body: { error: 'the weight store is busy' } };
    loadVersion(wanted.trainer, wanted.version).catch(() => undefined);
    return { status: 200, body: status() };
  };

  const handleCall = async (request: HandlerRequest, response: ServerResponse) => {
    const call = await readJson(request, response, z.unknown());
    served.push({
      requestId: String(request.headers['x-request-id']),
      customer: String(request.headers['x-customer']),
      headers: request.headers,
      path: request.path,
    });
    if (isLeaving) return { status: 503, body: { error: 'not run' } };
    await sleep(CALL_DELAY_MS);
    const text = JSON.stringify(call);
    return {
      status: 200,
      body: { upstream: id, path: request.path, score: (text.length % 10) / 10 },
    };
  };

  app.get(
    '/v1/status',
    withFaults(faults, `${id}-status`, async () => ({ status: 200, body: status() })),
  );
  app.get('/v1/events', withFaults(faults, `${id}-events`, readEvents));
  app.post('/v1/generate', withFaults(faults, `${id}-generate`, handleGenerate));
  app.post('/v1/weights', withFaults(faults, `${id}-weights`, handleWeightOrder));
  app.get(
    '/served',
    withFaults(faults, `${id}-served`, async () => ({ status: 200, body: served })),
  );
  app.get(
    '/call/*',
    withFaults(faults, `${id}-call`, async (request) => {
      served.push({
        requestId: String(request.headers['x-request-id']),
        customer: String(request.headers['x-customer']),
        headers: request.headers,
        path: request.path,
      });
      return { status: 200, body: { upstream: id, path: request.path } };
    }),
  );
  app.post('/call/*', withFaults(faults, `${id}-call`, handleCall));

  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;

  return {
    url: `http://127.0.0.1:${port}`,
    status,
    served: () => served,
    /** All weight orders received, including refused ones. */
    orders: () => orders,
    leave: (): void => {
      isLeaving = true;
    },
    crash,
    close: (): void => {
      server.close();
      server.closeAllConnections();
    },
  };
};

export type EngineStandin = Awaited<ReturnType<typeof newEngineStandin>>;

export default newEngineStandin;

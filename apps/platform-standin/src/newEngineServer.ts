import type { IncomingMessage, ServerResponse } from 'node:http';
import listenOnLoopback from './listenOnLoopback.js';
import type { LoopbackServer } from './listenOnLoopback.js';
import { readAll, sendJson } from './readAll.js';

const EVENT_EVERY_MS = 15;
const LOAD_MS = 150;

/** How an engine misbehaves. */
export interface EngineFaults {
  /** Takes requests and answers nothing. */
  isDark: boolean;
  /** Breaks off after so many events of each stream; null for never. */
  breakAfter: number | null;
  /** How many times slower than usual it works. */
  slowness: number;
  /** Answers bear the id of another request. */
  isCrossed: boolean;
}

/** A request that ran here. */
export interface EngineRun {
  requestId: string;
  customer: string | null;
  key: string | null;
  path: string;
  lastEventId: number;
  body: string;
}

export interface EngineServer extends LoopbackServer {
  id: string;
  faults: EngineFaults;
  runs: EngineRun[];
  orders: { model: string; version: number; holder: string; token: number }[];
  versions: Map<string, number>;
}

const textOf = (value: string | string[] | undefined): string => String(value ?? '');

/** Length of an item's text in events: its own, the same at every engine. */
export const eventsOf = (requestId: string): number =>
  4 + (Buffer.from(requestId).reduce((sum, byte) => sum + byte, 0) % 6);

/**
 * A model engine as the platform's pages describe it: event streams, resumption, one order at a
 * time with a count that the order must name, refusal of a model's requests while it loads.
 */
const newEngineServer = async (id: string, models: string[]): Promise<EngineServer> => {
  const faults: EngineFaults = { isDark: false, breakAfter: null, slowness: 1, isCrossed: false };
  const versions = new Map(models.map((model) => [model, 1]));
  const loading = new Set<string>();
  const runs: EngineRun[] = [];
  const orders: EngineServer['orders'] = [];
  let accepted = 0;

  const order = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = JSON.parse((await readAll(request)).toString()) as Record<string, unknown>;
    const [model, version] = [String(body.model), Number(body.version)];
    if (loading.size > 0 || Number(body.precondition) !== accepted) {
      sendJson(response, 409, {});
      return;
    }
    if (versions.get(model) === version) {
      sendJson(response, 200, {});
      return;
    }
    accepted += 1;
    orders.push({
      model,
      version,
      holder: String(body.holder),
      token: Number(body['fencing-token']),
    });
    loading.add(model);
    setTimeout(() => {
      loading.delete(model);
      versions.set(model, version);
    }, LOAD_MS);
    sendJson(response, 202, {});
  };

  const stream = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { headers } = request;
    const requestId = textOf(headers['attempt-id']);
    const model = textOf(headers.model);
    const body = await readAll(request);
    if (loading.has(model)) {
      response.writeHead(503, { 'not-executed': '1', 'content-length': '0' });
      response.end();
      return;
    }
    const lastEventId = Number(textOf(headers['last-event-id']) || 0);
    runs.push({
      requestId,
      customer: headers.tenant ? textOf(headers.tenant) : null,
      key: headers['x-api-key'] ? textOf(headers['x-api-key']) : null,
      path: request.url ?? '',
      lastEventId,
      body: body.toString(),
    });
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'attempt-id': faults.isCrossed ? 'another' : requestId,
      'server-stamp': `${id}.${requestId}`,
      'weight-versions': String(versions.get(model) ?? 1),
      'instance-load': '1,0,8',
    });
    let version = versions.get(model) ?? 1;
    for (let event = lastEventId + 1; event <= eventsOf(requestId); event += 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, EVENT_EVERY_MS * faults.slowness);
      });
      if (response.destroyed) return;
      if (faults.breakAfter !== null && event - lastEventId > faults.breakAfter) {
        request.socket.resetAndDestroy();
        return;
      }
      const now = versions.get(model) ?? 1;
      const change = now === version ? '' : `weight-versions: ${now}\n`;
      version = now;
      response.write(`${change}id: ${event}\ndata: ${requestId}/${event}\n\n`);
    }
    response.end();
  };

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (faults.isDark) return;
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'instance-id': id, 'content-length': '0' });
      response.end();
    } else if (request.url === '/v1/report') sendJson(response, 200, { seq: accepted });
    else if (request.url === '/v1/order') await order(request, response);
    else await stream(request, response);
  };

  const listening = await listenOnLoopback((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  return { ...listening, id, faults, runs, orders, versions };
};

export default newEngineServer;

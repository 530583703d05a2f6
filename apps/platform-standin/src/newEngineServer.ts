import type { IncomingMessage, ServerResponse } from 'node:http';
import listenOnLoopback from './listenOnLoopback.js';
import type { LoopbackServer } from './listenOnLoopback.js';
import { readBody, sendJson } from './httpBodies.js';
import sendWithoutEnd from './sendWithoutEnd.js';
import type { EndlessPart } from './sendWithoutEnd.js';

const EVENT_INTERVAL_MS = 15;
const LOAD_MS = 150;

/** The simulated faults of an engine. */
export interface EngineFaults {
  /** Accepts requests and never responds. */
  isUnresponsive: boolean;
  /** Number of events after which each stream is reset; null for no limit. */
  resetAfterEvents: number | null;
  /**
   * Number of events after which each stream is closed in the middle of the next one; its answers have
   * no length. Null for no limit.
   */
  closeAfterEvents: number | null;
  /** Where each stream has no end; null for whole streams. */
  endlessPart: EndlessPart | null;
  /** Factor by which the interval between events is multiplied. */
  slowdownFactor: number;
  /** Number of bytes by which the data of each event is longer. */
  paddingBytes: number;
  /** Responses carry the id of another request. */
  hasWrongAttemptId: boolean;
  /** A request with this body crashes the engine after its first event. */
  deadlyBody: string | null;
  /** A request with this prompt crashes the engine before its first event. */
  deadlyPrompt: string | null;
}

/** A request that this engine ran. */
export interface EngineRun {
  requestId: string;
  customer: string | null;
  key: string | null;
  path: string;
  lastEventId: number;
  body: string;
  /** The body as it arrived. */
  bytes: Buffer;
}

export interface EngineServer extends LoopbackServer {
  id: string;
  faults: EngineFaults;
  runs: EngineRun[];
  orders: { model: string; version: number; holder: string; token: number }[];
  versions: Map<string, number>;
}

const headerText = (value: string | string[] | undefined): string => String(value ?? '');

/** Number of events in an item's text; it depends only on the request's id, not on the engine. */
export const expectedEventCount = (requestId: string): number =>
  4 + (Buffer.from(requestId).reduce((sum, byte) => sum + byte, 0) % 6);

/**
 * A model engine as the platform's documentation describes it: it streams events, resumes streams,
 * accepts one weight order at a time, whose precondition must equal the number of accepted orders, and
 * refuses a model's requests while the model loads.
 */
const newEngineServer = async (id: string, models: string[]): Promise<EngineServer> => {
  const faults: EngineFaults = {
    isUnresponsive: false,
    resetAfterEvents: null,
    closeAfterEvents: null,
    endlessPart: null,
    slowdownFactor: 1,
    paddingBytes: 0,
    hasWrongAttemptId: false,
    deadlyBody: null,
    deadlyPrompt: null,
  };
  const versions = new Map(models.map((model) => [model, 1]));
  const loading = new Set<string>();
  const runs: EngineRun[] = [];
  const orders: EngineServer['orders'] = [];
  let acceptedOrders = 0;

  const handleWeightOrder = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const body = JSON.parse((await readBody(request)).toString()) as Record<string, unknown>;
    const [model, version] = [String(body.model), Number(body.version)];
    if (loading.size > 0 || Number(body.precondition) !== acceptedOrders) {
      sendJson(response, 409, {});
      return;
    }
    if (versions.get(model) === version) {
      sendJson(response, 200, {});
      return;
    }
    acceptedOrders += 1;
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

  const handleGeneration = async (
    request: IncomingMessage,
    response: ServerResponse,
    crash: () => void,
  ): Promise<void> => {
    const { headers } = request;
    const requestId = headerText(headers['attempt-id']);
    const model = headerText(headers.model);
    const body = await readBody(request);
    if (loading.has(model)) {
      response.writeHead(503, { 'not-executed': '1', 'content-length': '0' });
      response.end();
      return;
    }
    const lastEventId = Number(headerText(headers['last-event-id']) || 0);
    runs.push({
      requestId,
      customer: headers.tenant ? headerText(headers.tenant) : null,
      key: headers['x-api-key'] ? headerText(headers['x-api-key']) : null,
      path: request.url ?? '',
      lastEventId,
      body: body.toString(),
      bytes: body,
    });
    if (faults.endlessPart !== null) {
      const names = { 'attempt-id': requestId, 'server-stamp': `${id}.${requestId}` };
      sendWithoutEnd(response, faults.endlessPart, names);
      return;
    }
    response.useChunkedEncodingByDefault = faults.closeAfterEvents === null;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'attempt-id': faults.hasWrongAttemptId ? 'another' : requestId,
      'server-stamp': `${id}.${requestId}`,
      'weight-versions': String(versions.get(model) ?? 1),
      'instance-load': '1,0,8',
    });
    let version = versions.get(model) ?? 1;
    for (let event = lastEventId + 1; event <= expectedEventCount(requestId); event += 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, EVENT_INTERVAL_MS * faults.slowdownFactor);
      });
      if (response.destroyed) return;
      if (faults.deadlyPrompt !== null && headers['prompt-prefix'] === faults.deadlyPrompt) {
        crash();
        return;
      }
      if (faults.resetAfterEvents !== null && event - lastEventId > faults.resetAfterEvents) {
        request.socket.resetAndDestroy();
        return;
      }
      const currentVersion = versions.get(model) ?? 1;
      const versionField = currentVersion === version ? '' : `weight-versions: ${currentVersion}\n`;
      version = currentVersion;
      const data = `${requestId}/${event}${'p'.repeat(faults.paddingBytes)}`;
      const text = `${versionField}id: ${event}\ndata: ${data}\n\n`;
      if (faults.closeAfterEvents !== null && event - lastEventId > faults.closeAfterEvents) {
        response.end(text.slice(0, text.length / 2));
        return;
      }
      response.write(text);
      if (faults.deadlyBody !== null && body.toString() === faults.deadlyBody) {
        crash();
        return;
      }
    }
    response.end();
  };

  const handleRequest = async (
    request: IncomingMessage,
    response: ServerResponse,
    crash: () => void,
  ): Promise<void> => {
    if (faults.isUnresponsive) return;
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'instance-id': id, 'content-length': '0' });
      response.end();
    } else if (request.url === '/v1/report') sendJson(response, 200, { seq: acceptedOrders });
    else if (request.url === '/v1/order') await handleWeightOrder(request, response);
    else await handleGeneration(request, response, crash);
  };

  const loopback = await listenOnLoopback(handleRequest);
  return { ...loopback, id, faults, runs, orders, versions };
};

export default newEngineServer;

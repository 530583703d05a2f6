/** A model engine as PROTOCOL.md describes it. */
import { createServer } from 'node:http';

const LOAD_MS = 900;
const JSON_TYPE = { 'content-type': 'application/json' };

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const answerEmpty = (response, status, headers = {}) => {
  response.writeHead(status, { 'content-length': '0', ...headers });
  response.end();
};

/**
 * @param options id, model, zone, slots, eventMs, and `countEvents`, which tells how many events the text of a
 * request has
 */
const startEngine = async (record, options) => {
  const { id, model, zone, slots, eventMs, countEvents, isQuiet = false } = options;
  const note = (text) => {
    if (!isQuiet) record.add(text);
  };
  const born = Date.now();
  let version = 1;
  let ordered = null;
  let acceptedOrders = 0;
  let isUp = true;
  /** Runs by request id: how many events each has made. */
  const running = new Map();
  const runs = [];
  /** Orders in the order of their arrival, with those that it does not accept. */
  const orders = [];

  const loadWhenIdle = () => {
    if (ordered === null || ordered.isLoading || running.size > 0) return;
    ordered.isLoading = true;
    setTimeout(() => {
      if (!isUp) return;
      version = ordered.version;
      ordered = null;
      note(`${id} has version ${version}`);
    }, LOAD_MS);
  };

  const order = async (request, response) => {
    const body = JSON.parse((await readBody(request)).toString());
    orders.push({ at: record.now(), holder: body.holder, token: body['fencing-token'] });
    if (ordered !== null || body.precondition !== acceptedOrders) {
      answerEmpty(response, 409);
    } else if (body.version === version) answerEmpty(response, 200);
    else {
      acceptedOrders += 1;
      ordered = { version: body.version, isLoading: false };
      note(
        `${id} ordered by ${body.holder}: version ${body.version}, swap-mode ${body['swap-mode']}`,
      );
      answerEmpty(response, 202);
      loadWhenIdle();
    }
  };

  const generate = async (request, response) => {
    const { headers } = request;
    const requestId = headers['attempt-id'];
    const body = await readBody(request);
    if (ordered !== null || running.size >= slots) {
      answerEmpty(response, 503, { 'not-executed': '1', 'attempt-id': requestId });
      return;
    }
    const lastEventId = Number(headers['last-event-id'] ?? 0);
    const run = {
      requestId,
      rawHeaders: request.rawHeaders,
      body,
      startedAt: record.now(),
      events: 0,
    };
    run.endedAt = null;
    runs.push(run);
    running.set(requestId, run);
    note(`${id} runs ${requestId} from event ${lastEventId + 1} at version ${version}`);
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'attempt-id': requestId,
      'server-stamp': `${id}.${requestId}`,
      'weight-versions': String(version),
      'instance-load': `${running.size},0,${slots}`,
    });
    const end = (isWhole) => {
      running.delete(requestId);
      run.endedAt = record.now();
      run.isWhole = isWhole;
      note(`${id} ends ${requestId} after ${run.events} events${isWhole ? ', whole' : ''}`);
      loadWhenIdle();
    };
    let event = lastEventId;
    const timer = setInterval(() => {
      if (response.destroyed || !isUp) {
        clearInterval(timer);
        end(false);
        return;
      }
      if (event < countEvents(requestId)) {
        event += 1;
        run.events += 1;
        response.write(`id: ${event}\ndata: ${requestId}/${event}\n\n`);
        return;
      }
      clearInterval(timer);
      response.end();
      end(true);
    }, eventMs);
  };

  const server = createServer((request, response) => {
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      answerEmpty(response, 421, { 'instance-id': id, 'not-executed': '1' });
    } else if (request.url === '/v1/report') {
      const text = JSON.stringify({
        stage: 'prefill_decode',
        models: [{ name: model, version, adapters: [] }],
        busy: ordered !== null,
        seq: acceptedOrders,
        'queued-requests': 0,
        'running-requests': running.size,
      });
      response.writeHead(200, { ...JSON_TYPE, 'content-length': String(text.length) });
      response.end(text);
    } else if (request.url === '/v1/order') order(request, response);
    else generate(request, response);
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${server.address().port}`;
  const stop = () => {
    isUp = false;
    server.close();
    server.closeAllConnections();
  };
  return {
    id,
    zone,
    slots,
    runs,
    orders,
    running,
    isUp: () => isUp,
    isOrdered: () => ordered !== null || version > 1,
    version: () => version,
    /** The engine crashes and is lost for good. */
    lose: () => {
      record.add(`${id} is lost with ${[...running.keys()].join(', ')}`);
      stop();
    },
    stop,
    describe: () => ({
      service: 'assist-models',
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      'cold-remaining-ms': 0,
      born,
      models: [{ name: model, version, adapters: [] }],
    }),
  };
};
export default startEngine;

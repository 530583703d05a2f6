/** Upstreams that run in the process of a case: a plain service, and a service of streams. */
import { once } from 'node:events';
import { createServer } from 'node:http';

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const listen = async (server) => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${server.address().port}`;
};

const closeServer = (server) => {
  server.close();
  server.closeAllConnections();
};

/** Answers what every upstream answers alike; @returns whether the request is answered. */
const answerCommon = (id, request, response) => {
  if (request.url === '/healthz') {
    response.writeHead(200, { 'instance-id': id, 'content-length': '0' });
    response.end();
    return true;
  }
  const expected = request.headers['expect-instance'];
  if (expected === undefined || expected === id) return false;
  response.writeHead(421, { 'instance-id': id, 'content-length': '0' });
  response.end();
  return true;
};

/**
 * A plain service: answers with the request's body after some work.
 * @param onRun called with the request's id as its work begins; returns the milliseconds of work
 */
export const newDesk = async (id, onRun) => {
  const server = createServer(async (request, response) => {
    if (answerCommon(id, request, response)) return;
    const body = await readBody(request);
    const requestId = request.headers['attempt-id'];
    setTimeout(() => {
      if (response.destroyed) return;
      response.writeHead(200, {
        'attempt-id': requestId,
        'server-stamp': `${id}.${requestId}`,
        'content-length': String(body.length),
      });
      response.end(body);
    }, onRun(requestId));
  });
  return { id, address: await listen(server), close: () => closeServer(server) };
};

/**
 * An engine of streams. It resumes after `Last-Event-Id`, and ends a stream some time after its last
 * event.
 * @param isDark whether it has fallen silent
 */
export const newStreamEngine = async (id, { events, eventMs, onEvent = () => {}, isDark }) => {
  const server = createServer(async (request, response) => {
    if (isDark?.()) return;
    if (answerCommon(id, request, response)) return;
    await readBody(request);
    const requestId = request.headers['attempt-id'];
    const from = Number(request.headers['last-event-id'] ?? 0) + 1;
    const isOver = () => response.destroyed;
    const stopAt = Date.now() + Number(request.headers['deadline-ms'] ?? Infinity);
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'attempt-id': requestId,
      'server-stamp': `${id}.${requestId}`,
      'weight-versions': '1',
    });
    response.flushHeaders();
    onEvent(requestId, from - 1);
    for (let event = from; event <= events; event += 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, eventMs);
      });
      if (isDark?.() || isOver()) return;
      if (Date.now() >= stopAt) {
        request.socket.resetAndDestroy();
        return;
      }
      response.write(`id: ${event}\ndata: event ${event}\n\n`);
      onEvent(requestId, event);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, eventMs);
    });
    if (!isDark?.() && !isOver()) response.end();
  });
  return {
    id,
    address: await listen(server),
    /** Breaks its channels off; it is back at once. */
    crash: () => server.closeAllConnections(),
    close: () => closeServer(server),
  };
};

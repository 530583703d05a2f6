/**
 * A model engine that serves one request at a time on a channel, and keeps its channels. It streams
 * events, reports itself and takes weight orders. It may send an extra copy of an answer late, at the
 * point where the next answer on the channel is expected; the copy bears the id of its request.
 */
import { once } from 'node:events';
import { createServer } from 'node:net';

const HEAD_END = '\r\n\r\n';
const LOAD_MS = 150;

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const parseHead = (text) => {
  const [first, ...lines] = text.split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { path: first.split(' ')[1], headers };
};

const newAnswer = (status, headers, body) => {
  const fields = { ...headers, 'content-length': String(Buffer.byteLength(body)) };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n${body}`;
};

/**
 * @param events events of a stream
 * @param eventMs milliseconds of an event
 * @param answerMs milliseconds until a report or an order is answered
 * @param maySendExtra asked as such an answer is expected on a channel that carried a stream before
 */
const newChannelEngine = async (id, { model, events, eventMs, answerMs, maySendExtra }) => {
  let version = 1;
  let accepted = 0;
  let isLoading = false;
  const counts = { answers: 0, extras: 0 };
  const sockets = new Set();

  const stream = async (socket, { headers }) => {
    const requestId = headers['attempt-id'];
    const from = Number(headers['last-event-id'] ?? 0) + 1;
    const fields = {
      'content-type': 'text/event-stream',
      'attempt-id': requestId,
      'server-stamp': `${id}.${requestId}`,
      'weight-versions': String(version),
    };
    const list = Array.from(
      { length: Math.max(0, events + 1 - from) },
      (_, index) => `id: ${from + index}\ndata: event ${from + index}\n\n`,
    );
    const whole = newAnswer('200 OK', fields, list.join(''));
    let sent = whole.length - list.join('').length;
    socket.write(whole.slice(0, sent));
    for (const event of list) {
      await sleep(eventMs);
      if (socket.destroyed) return null;
      socket.write(event);
      sent += event.length;
    }
    return whole;
  };

  const handle = async (socket, request, body, before) => {
    const { path, headers } = request;
    const requestId = headers['attempt-id'];
    const expected = headers['expect-instance'];
    counts.answers += 1;
    if (expected !== undefined && expected !== id) {
      socket.write(newAnswer('421 Misdirected Request', { 'instance-id': id }, ''));
      return null;
    }
    if (path === '/healthz') {
      socket.write(newAnswer('200 OK', { 'instance-id': id }, ''));
      return null;
    }
    if (path === '/v1/report' || path === '/v1/order') {
      if (before !== null && maySendExtra(counts)) {
        counts.extras += 1;
        socket.write(before);
      }
      await sleep(answerMs);
    }
    if (path === '/v1/report') {
      const report = {
        stage: 'prefill_decode',
        models: [{ name: model, version, adapters: [] }],
        busy: isLoading,
        seq: accepted,
      };
      const fields = { 'content-type': 'application/json' };
      socket.write(newAnswer('200 OK', fields, JSON.stringify(report)));
      return null;
    }
    if (path === '/v1/order') {
      const order = JSON.parse(body.toString());
      if (isLoading || order.precondition !== accepted) {
        socket.write(newAnswer('409 Conflict', {}, ''));
      } else if (order.version === version) socket.write(newAnswer('200 OK', {}, ''));
      else {
        accepted += 1;
        isLoading = true;
        setTimeout(() => {
          isLoading = false;
          version = order.version;
        }, LOAD_MS);
        socket.write(newAnswer('202 Accepted', {}, ''));
      }
      return null;
    }
    if (isLoading) {
      const fields = { 'attempt-id': requestId, 'not-executed': '1' };
      socket.write(newAnswer('503 Service Unavailable', fields, ''));
      return null;
    }
    return stream(socket, request);
  };

  const server = createServer((socket) => {
    let received = Buffer.alloc(0);
    let isBusy = false;
    /** The stream that this channel carried last. */
    let before = null;
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
    const serve = async () => {
      while (!isBusy) {
        const end = received.indexOf(HEAD_END);
        if (end === -1) return;
        const request = parseHead(received.subarray(0, end).toString());
        const bodyEnd = end + HEAD_END.length + Number(request.headers['content-length'] ?? 0);
        if (received.length < bodyEnd) return;
        const body = received.subarray(end + HEAD_END.length, bodyEnd);
        received = received.subarray(bodyEnd);
        isBusy = true;
        before = await handle(socket, request, body, before);
        isBusy = false;
      }
    };
    socket.on('data', (chunk) => {
      received = Buffer.concat([received, chunk]);
      serve();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    id,
    address: `127.0.0.1:${server.address().port}`,
    /** Of its answers since `restartCounts`. */
    counts,
    restartCounts: () => Object.assign(counts, { answers: 0, extras: 0 }),
    readVersion: () => version,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
};

export default newChannelEngine;

/**
 * A model engine as a process of its own. Its answers have no length and end with their channel, as
 * the pages allow. Each event goes out in two writes. What it does is told to its parent as JSON lines.
 *
 * Arguments: its id, the events of a text, the milliseconds of an event.
 */
import { createServer } from 'node:net';

const [id, eventsText, eventMsText] = process.argv.slice(2);
const EVENTS = Number(eventsText);
const HALF_EVENT_MS = Number(eventMsText) / 2;

const tell = (message) => process.stdout.write(`${JSON.stringify({ engine: id, ...message })}\n`);

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const parseHead = (text) => {
  const [first, ...lines] = text.split('\r\n');
  const [method, path] = first.split(' ');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { method, path, headers };
};

const dataOf = (item, event) => `${item} says ${event} of ${EVENTS}`;

const answerEmpty = (socket, status, headers = {}) => {
  const fields = { ...headers, 'instance-id': id, 'content-length': '0' };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(`HTTP/1.1 ${status}\r\n${lines.join('')}\r\n`);
};

const generate = async (socket, { headers }) => {
  const item = headers['attempt-id'];
  const from = Number(headers['last-event-id'] ?? 0) + 1;
  tell({ did: 'began', item, from });
  const head = [
    'HTTP/1.1 200 OK',
    'content-type: text/event-stream',
    `attempt-id: ${item}`,
    `server-stamp: ${id}.${item}`,
    'weight-versions: 1',
    'connection: close',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  for (let event = from; event <= EVENTS; event += 1) {
    await sleep(HALF_EVENT_MS);
    if (socket.destroyed) return;
    const data = dataOf(item, event);
    const cut = Math.floor(data.length / 2);
    tell({ did: 'half', item, event });
    socket.write(`id: ${event}\ndata: ${data.slice(0, cut)}`);
    await sleep(HALF_EVENT_MS);
    if (socket.destroyed) return;
    tell({ did: 'event', item, event });
    socket.write(`${data.slice(cut)}\n\n`);
  }
  tell({ did: 'ended', item });
  socket.end();
};

const handle = async (socket, request) => {
  const { path, headers } = request;
  const expected = headers['expect-instance'];
  if (path === '/healthz') answerEmpty(socket, '200 OK');
  else if (expected !== undefined && expected !== id) answerEmpty(socket, '421 Misdirected');
  else await generate(socket, request);
};

const server = createServer((socket) => {
  let received = Buffer.alloc(0);
  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  socket.on('data', (chunk) => {
    received = Buffer.concat([received, chunk]);
    const end = received.indexOf('\r\n\r\n');
    if (end === -1) return;
    const request = parseHead(received.subarray(0, end).toString());
    const length = Number(request.headers['content-length'] ?? 0);
    if (received.length < end + 4 + length) return;
    received = received.subarray(end + 4 + length);
    handle(socket, request);
  });
});
server.listen(0, '127.0.0.1', () => tell({ did: 'listening', port: server.address().port }));

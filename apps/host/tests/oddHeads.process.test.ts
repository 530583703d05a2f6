import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { CUSTOMER_KEY, HOST_NAME, MODEL } from '@cyclamengate/app-platform-standin/newPlatform';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { batchBody, readAllResults, submitUntilKnown } from './batchHelpers.js';
import { send, sleep, waitUntil } from './newHosts.js';
import type { TestHost } from './newHosts.js';
import { newSystem } from './testSystem.js';

/** Some answers of each kind, and orders of weights, come in this time. */
const ODD_MS = 700;
const TEST_TIMEOUT_MS = 90_000;
const CALLER_TIMEOUT_MS = 1_000;
const DEPTH = 100_000;

/** Answers requests of a server with raw bytes until it is ended. */
const answerWith = (
  server: Server,
  newAnswer: (request: IncomingMessage) => string,
): (() => void) => {
  const usual = server.listeners('request') as ((...args: unknown[]) => void)[];
  const answer = (request: IncomingMessage, { socket }: ServerResponse): void => {
    socket?.write(Buffer.from(newAnswer(request), 'latin1'));
  };
  server.removeAllListeners('request').on('request', answer);
  return () => {
    server.removeAllListeners('request');
    usual.forEach((listener) => server.on('request', listener));
    // What was answered with raw bytes keeps its connection busy.
    server.closeAllConnections();
  };
};

const namesOf = ({ headers }: IncomingMessage): string =>
  `attempt-id: ${String(headers['attempt-id'])}\r\nserver-stamp: s\r\n`;

const stream = (lines: string, id = '1'): ((names: string) => string) => {
  const text = `id: ${id}\ndata: a\n\n`;
  return (names) =>
    `HTTP/1.1 200 OK\r\n${names}content-type: text/event-stream\r\n${lines}content-length: ${text.length}\r\n\r\n${text}`;
};

const plain =
  (status: string, lines = ''): ((names: string) => string) =>
  (names) =>
    `HTTP/1.1 ${status}\r\n${names}${lines}content-length: 2\r\n\r\nok`;

const VERSION = 'weight-versions: 1\r\n';

const ODD_ANSWERS: Record<string, ((names: string) => string)[]> = {
  statuses: [
    ...['099 X', '000 X', '100 X', '101 X', '199 X', '204 X', '304 X', '600 X', '999 X'].map(
      (status) => plain(status),
    ),
    () => '\u0000\u00ff\u0001 no answer\r\n\r\n',
  ],
  headers: [
    plain('200 OK', '__proto__: a\r\n__proto__: b\r\nconstructor: c\r\n'),
    plain('200 OK', 'connection: x\r\nconnection: y\r\n'),
    plain('200 OK', `x: ${'v'.repeat(60_000)}\r\n`),
    plain('200 OK', 'x: v\r\n'.repeat(900)),
    plain('200 OK', 'x: \u00e9\u0080\u00ff\r\n'),
    plain('200 OK', 'x: a\u0001b\r\n'),
    plain('200 OK', 'transfer-encoding: chunked\r\n'),
  ],
  figures: [
    plain('200 OK', 'keep-alive: timeout=1e308\r\n'),
    plain('200 OK', 'keep-alive: timeout=-5\r\n'),
    plain('200 OK', `keep-alive: timeout=${'9'.repeat(300)}\r\n`),
    plain('200 OK', 'instance-load: 1e308,1e308,1e308,1e308\r\n'),
    plain('503 Full', 'not-executed: 1\r\nretry-after: 1e308\r\ninstance-load: -1,1e308,0\r\n'),
    (names) => plain('200 OK')(names.replace('stamp: s', `stamp: \u00e9${'s'.repeat(9_000)}`)),
  ],
  events: [
    stream('weight-versions: 1e308\r\n'),
    stream('weight-versions: 2.5\r\n'),
    stream('weight-versions: -1\r\n'),
    stream(VERSION, '1e308'),
    stream(VERSION, '\u00e2\u0082\u00ac'),
    stream(VERSION, '9'.repeat(10_000)),
    stream(VERSION, '1\rid: \u0000'),
  ],
};

const newTestSystem = async (t: ExecutionContext) => {
  t.timeout(TEST_TIMEOUT_MS);
  const { platform, system, first, second, close } = await newSystem(1);
  t.teardown(close);
  const checkHosts = (): void =>
    system.hosts.forEach(({ child }) => t.is(child.exitCode ?? child.signalCode, null));
  const checkServed = async (): Promise<void> => {
    for (const host of system.hosts) {
      await waitUntil(async () => {
        const answer = await send(host, 'POST', '/lookup/7', { id: 'sound', body: 'x' });
        return answer.status === 200;
      });
    }
    checkHosts();
  };
  const servers = [...platform.plain, ...platform.engines].map(({ server }) => server);
  return { platform, system, first, second, servers, checkHosts, checkServed };
};

Object.entries(ODD_ANSWERS).forEach(([kind, answers]) => {
  test.serial(`odd ${kind} of answers end no host, no item and no later request`, async (t) => {
    // Guards against hosts that what one upstream sends ends, and items whose results nobody can read.
    const { platform, system, first, second, servers, checkHosts, checkServed } =
      await newTestSystem(t);
    let count = 0;
    const ends = servers.map((server) =>
      answerWith(server, (request) => {
        count += 1;
        return answers[count % answers.length]?.(namesOf(request)) ?? '';
      }),
    );
    platform.publishVersion(2);
    t.is((await submitUntilKnown(first, 'b1', batchBody('b1', 4, 4))).status, 202);
    await Promise.all(
      system.hosts.map(async (host) => {
        for (let sent = 0; sent < answers.length; sent += 1) {
          const headers = { 'deadline-ms': String(ODD_MS) };
          const id = `odd-${host.name}-${sent}`;
          await send(host, 'POST', '/lookup/7', { id, body: 'x', headers }).catch(() => null);
        }
      }),
    );
    await sleep(ODD_MS);
    checkHosts();
    ends.forEach((end) => end());
    const { results } = await readAllResults(second, 'b1');
    t.true(results.every(({ state }) => state === 'completed'));
    t.true(results.every(({ versions }) => versions.every((each) => each === 1 || each === 2)));
    await waitUntil(() => platform.engines.every(({ versions }) => versions.get(MODEL) === 2));
    await checkServed();
  });
});

const NAMES = `host: ${HOST_NAME}\r\nx-api-key: ${CUSTOMER_KEY}\r\n`;

const get = (path: string, lines = ''): string =>
  `GET ${path} HTTP/1.1\r\n${NAMES}${lines}connection: close\r\n\r\n`;

const ODD_REQUESTS = [
  get('/v1/lots/%ff'),
  get('/v1/items/%c0%zz?id=%ff&after=%zz'),
  get('/v1/lots/__proto__?after=1e308', 'wait-ms: 1e300\r\n'),
  get(`http://${HOST_NAME}/lookup/1`),
  get('/lookup/<>"{}|\\^`?#%zz'),
  get('/lookup/1', 'deadline-ms: 1e300\r\nwait-ms: 1e300\r\n'),
  get('/lookup/1', 'deadline-ms: 1e-300\r\n'),
  get('/lookup/1', `attempt-id: ${'a'.repeat(16_000)}\r\n`),
  get('/lookup/1', 'attempt-id: \u00e9\u0080\u00ff\r\n'),
  get('/nowhere/1', 'attempt-id: \u00e9\u0080\u00ff\r\n'),
  get(
    '/lookup/1',
    'last-event-id: \u00ff\r\ntoken-count: 1e308\r\nprompt-prefix: ,,:__proto__:1e308\r\n',
  ),
  get('/lookup/1', '__proto__: a\r\nconstructor: b\r\nconnection: host, attempt-id\r\n'),
  get('/lookup/1', `x: ${'v'.repeat(70_000)}\r\n`),
  get('/lookup/1', 'upgrade: websocket\r\nconnection: upgrade\r\n'),
  get('/lookup/1').repeat(4),
  `${get('/lookup/1')}\u0000\u0001\r\n\r\n`,
  `OPTIONS * HTTP/1.1\r\n${NAMES}connection: close\r\n\r\n`,
  `CONNECT ${HOST_NAME}:80 HTTP/1.1\r\n${NAMES}\r\n`,
  `GET /lookup/1 HTTP/1.0\r\n${NAMES}\r\n`,
  'GET /lookup/1\r\n\r\n',
  'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
  `POST /lookup/1 HTTP/1.1\r\n${NAMES}expect: 200-ok\r\ncontent-length: 2\r\n\r\nok`,
  `POST /lookup/1 HTTP/1.1\r\n${NAMES}expect: 100-continue\r\ncontent-length: 2\r\n\r\nok`,
  `POST /lookup/1 HTTP/1.1\r\n${NAMES}transfer-encoding: chunked\r\n\r\nzz\r\nok`,
  `POST /lookup/1 HTTP/1.1\r\n${NAMES}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n__proto__: 1\r\n\r\n`,
  `POST /lookup/1 HTTP/1.1\r\n${NAMES}content-length: 99999999999999999999\r\n\r\nok`,
];

/** Sends raw bytes; @returns what comes until the answer is over, or no more is waited for. */
const sendRaw = (address: string, text: string): Promise<string> =>
  new Promise((resolve) => {
    const [host = '', port] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    let answer = '';
    socket.setTimeout(CALLER_TIMEOUT_MS, () => socket.destroy());
    socket.on('data', (chunk) => {
      answer += chunk.toString('latin1');
    });
    socket.on('error', () => socket.destroy());
    socket.once('close', () => resolve(answer));
    socket.write(Buffer.from(text, 'latin1'));
  });

test.serial('odd requests end no host, and no later request', async (t) => {
  // Guards against hosts that one caller ends, at any of their addresses.
  const { system, first, checkServed } = await newTestSystem(t);
  const sendAll = ({ callers, readiness, metrics }: TestHost) =>
    Promise.all(
      [callers, readiness, metrics].flatMap((address) =>
        ODD_REQUESTS.map((text) => sendRaw(address, text)),
      ),
    );
  const answers = await Promise.all(system.hosts.map(sendAll));
  answers.flat().forEach((answer) => t.regex(answer, /^(HTTP\/1\.1 [1-5]\d\d |$)/));
  const nested = '['.repeat(DEPTH) + ']'.repeat(DEPTH);
  const bodies = [
    nested,
    `{"entries":[{"id":"a","path":"/x","headers":${nested}}]}`,
    `{"entries":[{"id":"a","path":"/x","__proto__":{"headers":{}}}],"__proto__":{"model":"m"}}`,
    '{"entries":[{"id":"\u0000","path":"/x"},{"id":"a","path":"\\n","headers":{"__proto__":"a"}}]}',
    '{"entries":[],"entries":[{"id":"a","path":"/x"}],"train-step":1e308,"min-version":-1e308}',
  ];
  for (const body of bodies) {
    const { status } = await send(first, 'POST', '/rounds/', { id: 'odd', body });
    t.true([202, 400, 413].includes(status), `${status} for ${body.slice(0, 60)}`);
  }
  await checkServed();
});

test.serial('a request with a head that is too large reaches no upstream', async (t) => {
  // Guards against upstreams that are avoided for what one caller sent: they repeat its id, so that the
  // heads of their answers are too large as well, which looks like failures.
  const { system, first, checkServed } = await newTestSystem(t);
  const sendLong = (length: number) =>
    send(first, 'GET', '/lookup/1', { headers: { 'x-long': 'v'.repeat(length) } });
  t.is((await send(first, 'GET', '/lookup/1', { id: 'a'.repeat(9_000) })).status, 431);
  t.is((await sendLong(16_384)).status, 431);
  const failures = system.hosts.flatMap(({ events }) =>
    events.filter(({ event }) => event === 'upstream.failed'),
  );
  t.deepEqual(failures, []);
  t.is((await sendLong(15_000)).status, 200);
  await checkServed();
});

const json = (text: string, names = ''): string =>
  `HTTP/1.1 200 OK\r\n${names}content-length: ${text.length}\r\n\r\n${text}`;

const ODD_REPORTS = [
  '['.repeat(DEPTH),
  `{"seq":${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}}`,
  '{"seq":1e308}',
  '{"seq":-1}',
  '{"seq":"4"}',
  '[4]',
  'null',
  '"',
  `{"seq":4,"x":"${'x'.repeat(2_000_000)}"}`,
];

test.serial('odd reports and answers to duties end no host, and no later order', async (t) => {
  // Guards against hosts that what an engine or the platform answers to their own calls ends, and weight
  // orders that are never placed again.
  const { platform, first, checkHosts, checkServed } = await newTestSystem(t);
  const texts = [...ODD_REPORTS];
  const ends = platform.engines.map(({ server }) =>
    answerWith(server, () => json(texts.shift() ?? '{}')),
  );
  const odd = ['099 X', '101 X', '999 X', '200 OK\r\n__proto__: 1'];
  const endDuties = answerWith(platform.duties.server, () => {
    const status = odd.shift();
    return status ? `HTTP/1.1 ${status}\r\ncontent-length: 2\r\n\r\nok` : json('['.repeat(DEPTH));
  });
  platform.publishVersion(2);
  await send(first, 'POST', '/lookup/7', { id: 'counted', body: 'x' });
  await waitUntil(() => texts.length === 0 && odd.length === 0);
  checkHosts();
  ends.forEach((end) => end());
  endDuties();
  await waitUntil(() => platform.engines.every(({ versions }) => versions.get(MODEL) === 2));
  await waitUntil(() => platform.reports.length > 0);
  await checkServed();
});

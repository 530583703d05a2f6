import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import { handover, newCaller, newPeer, watchRejections } from './peerHelpers.js';

const TEST_TIMEOUT_MS = 60_000;
/** More than any stack bears. */
const DEPTH = 100_000;
const MAX_GROWTH_BYTES = 300_000_000;

const nest = (open: string, close: string): string => open.repeat(DEPTH) + close.repeat(DEPTH);

const json = (value: unknown): string => JSON.stringify(value);

const END = { type: 'batch-end', batch: 'b' };

/** Path of the call and its body; null for a query. */
const ODD_CALLS: [string, string | null][] = [
  ...[
    nest('[', ']'),
    nest('{"a":', '}').replace('}', '1}'),
    '',
    'null',
    '7',
    '"x"',
    'oops',
  ].flatMap((body): [string, string][] =>
    ['begin', 'keep', 'announce', 'takeOver', 'exchangeCrashes', 'claimTrial'].map((name) => [
      `/trpc/${name}`,
      body,
    ]),
  ),
  ['/trpc/keep', `{"record":${json(END)},"withinMs":1e999}`],
  ['/trpc/keep', `{"record":${json(END)},"withinMs":-1}`],
  ['/trpc/keep', `{"record":${nest('[', ']')},"withinMs":1}`],
  ['/trpc/begin', json({ ...handover.batch, leastVersion: 1e308 })],
  ['/trpc/noteBegun', json({ batch: 'b', host: 'c', address: '127.0.0.1:99999' })],
  ['/trpc/noteBegun', json({ batch: 'b', host: 'c', address: 'elsewhere' })],
  ['/trpc/noteBegun', json({ batch: 'b'.repeat(100_000), host: 'c', address: '127.0.0.1:9' })],
  ['/trpc/exchangeCrashes', json([{ digest: 'd'.repeat(100_000), upstream: 'u', endedAt: 1 }])],
  ['/trpc/cancelTrial', '{"digest":1}'],
  ['/trpc/nothing', '{}'],
  ['/trpc/__proto__', '{}'],
  ['/trpc/constructor.prototype', '{}'],
  ['/trpc/hasBegun', null],
  ['/trpc/hasBegun?input=oops', null],
  [`/trpc/hasBegun?input=${nest('[', ']').slice(0, 4_000)}`, null],
  ['/trpc/hasBegun?input=%', null],
  [`/trpc/findNewerSettings?input=1e308`, null],
  [`/trpc/findNewerSettings?input="x"`, null],
  [`/trpc/${'touch,'.repeat(200)}touch?batch=1&input={}`, null],
  [`/trpc/touch,touch?batch=1&input=[`, null],
  ['/trpc/begin,begin?batch=1', '{"0":null,"1":7}'],
  ['/trpc/touch', '{}'],
  ['/trpc', null],
  ['/', null],
  ['/trpc/%ff', null],
  ['/trpc/%', null],
];

const callOdd = async (address: string, path: string, body: string | null): Promise<number> => {
  const answer = await request(`http://${address}${path}`, {
    method: body === null ? 'GET' : 'POST',
    ...(body !== null && { headers: { 'content-type': 'application/json' }, body }),
  });
  await answer.body.dump();
  return answer.statusCode;
};

const checkServes = async (
  t: ExecutionContext,
  { peer, begun }: Awaited<ReturnType<typeof newPeer>>,
): Promise<void> => {
  begun.clear();
  await newCaller([peer]).begin(handover.batch);
  t.deepEqual([...begun], ['b']);
};

test.serial(
  'an odd call of a peer is answered with an error, and the next one is served',
  async (t) => {
    // Guards against hosts that a call of another program or version ends.
    t.timeout(TEST_TIMEOUT_MS);
    watchRejections(t);
    const host = await newPeer('b', true);
    t.teardown(() => host.server.close());
    for (const [path, body] of ODD_CALLS) {
      const status = await callOdd(host.peer.address, path, body);
      t.true(
        status >= 400 || status === 207,
        `${status} ${path.slice(0, 60)} ${body?.slice(0, 60)}`,
      );
    }
    t.deepEqual(host.executorReports, []);
    await checkServes(t, host);
  },
);

const RAW_REQUESTS = [
  'GET http://[ HTTP/1.1\r\nhost: x\r\n\r\n',
  'GET //[ HTTP/1.1\r\nhost: x\r\n\r\n',
  'GET /trpc/touch HTTP/1.1\r\nhost: a b\r\n\r\n',
  'GET /trpc/touch HTTP/1.1\r\nhost: [\r\n\r\n',
  'GET * HTTP/1.1\r\nhost: x\r\n\r\n',
  'TRACE /trpc/touch HTTP/1.1\r\nhost: x\r\n\r\n',
  'CONNECT /trpc/touch HTTP/1.1\r\nhost: x\r\n\r\n',
  'HEAD /trpc/touch HTTP/1.1\r\nhost: x\r\n\r\n',
  'POST /trpc/begin HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n{}',
  'POST /trpc/begin HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999999999999\r\n\r\n{}',
  'POST /trpc/begin HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
  'PUT /trpc/begin HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}',
  'GET /trpc/touch HTTP/1.1\r\nhost: x\r\ntrpc-accept: application/jsonl\r\n\r\n',
  'GET /trpc/touch?connectionParams=%7B HTTP/1.1\r\nhost: x\r\n\r\n',
  `GET /trpc/${'x'.repeat(30_000)} HTTP/1.1\r\nhost: x\r\n\r\n`,
  'POST /trpc/begin HTTP/1.1\r\nhost: x\r\ncontent-type: multipart/form-data; boundary=x\r\ncontent-length: 2\r\n\r\n{}',
  'POST /trpc/begin HTTP/1.1\r\nhost: x\r\ncontent-type: application/octet-stream\r\ncontent-length: 2\r\n\r\n{}',
  'GET /trpc/touch HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\nconnection: upgrade\r\n\r\n',
  'oops\r\n\r\n',
];

test.serial('bytes that are no call leave a host as it was', async (t) => {
  // Guards against hosts that a malformed request line, header or framing ends.
  t.timeout(TEST_TIMEOUT_MS);
  watchRejections(t);
  const host = await newPeer('b', true);
  t.teardown(() => host.server.close());
  const [at = '', port = ''] = host.peer.address.split(':');
  for (const bytes of RAW_REQUESTS) {
    const socket: Socket = connect({ host: at, port: Number(port) });
    socket.on('error', () => {});
    socket.resume();
    socket.write(bytes);
    await Promise.race([
      once(socket, 'data').catch(() => {}),
      once(socket, 'close').catch(() => {}),
    ]);
    socket.destroy();
    await checkServes(t, host);
  }
});

const WRONG_MEMBERS = 2_900_000;

test.serial('a call with millions of wrong members costs little more than its size', async (t) => {
  // Guards against a host that runs out of memory while it words what is wrong with a call.
  t.timeout(TEST_TIMEOUT_MS);
  const host = await newPeer('b', true);
  t.teardown(() => host.server.close());
  const items = `[${'0,'.repeat(WRONG_MEMBERS)}0]`;
  const body = json({ ...handover.batch, items: 'ITEMS' }).replace('"ITEMS"', items);
  const before = process.memoryUsage.rss();
  const status = await callOdd(host.peer.address, '/trpc/begin', body);
  const grown = process.memoryUsage.rss() - before;
  t.true(grown < MAX_GROWTH_BYTES, `${Math.round(grown / 1e6)} MB`);
  t.is(status, 400);
  await checkServes(t, host);
});

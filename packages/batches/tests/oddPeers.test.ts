import { once } from 'node:events';
import { createServer } from 'node:http';
import type { RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import newMetrics from '@cyclamengate/common/newMetrics';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { handover, newCaller, newPeer, watchRejections } from './peerHelpers.js';

const TEST_TIMEOUT_MS = 30_000;
/** More than any stack bears. */
const DEPTH = 100_000;
const HUGE_BYTES = 9_000_000;

const CRASH = { digest: 'deadly', upstream: 'a@1', endedAt: 1, weight: 1, work: 'call' as const };

const HEARTBEAT = {
  type: 'heartbeat' as const,
  host: 'a',
  incarnation: 'a-run',
  number: 1,
  failureDomain: 'detroit',
  address: '127.0.0.1:1',
  cores: 1,
  isLeaving: true,
  running: {},
  usage: {},
  countedThrough: 0,
};

const END = { type: 'batch-end' as const, batch: 'b' };

const peerAt = (address: string) => ({ host: 'odd', failureDomain: 'detroit', address, cores: 1 });

/** Starts a program in the place of a host that answers each call in an odd way. */
const newOddPeer = async (t: ExecutionContext, answer: RequestListener) => {
  const server = createServer(answer);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return peerAt(`127.0.0.1:${(server.address() as AddressInfo).port}`);
};

const answerWith =
  (body: string, status = 200): RequestListener =>
  (request, response) => {
    request.resume();
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(body);
  };

type Caller = ReturnType<typeof newCaller>;

/** All calls to peers, with what they come to when no peer gives an answer that can be used. */
const checkNoAnswer = async (t: ExecutionContext, caller: Caller): Promise<void> => {
  t.is(await caller.write(END), 'unknown');
  t.deepEqual(await caller.fetchNewerSettings(1), []);
  t.deepEqual(await caller.fetchEvacuations(), []);
  t.deepEqual(await caller.exchangeCrashes([CRASH]), []);
  t.false(await caller.announce(HEARTBEAT));
  t.is(await caller.handOver(handover), null);
  t.is(await caller.probeStoreAccess(), 'none');
  t.is(await caller.trials.claim('deadly', [CRASH]), null);
  caller.trials.cancel('deadly');
  await caller.begin(handover.batch);
};

const ODD_ADDRESSES = [
  ...['127.0.0.1:99999', '127.0.0.1:0', '999.0.0.1:80', '127.0.0.1', ':', '', '127.0.0.1:-1'],
  ...['127.0.0.1:1e3', 'a b:80', '[::1]:80', '127.0.0.1:9/x?y=', '@127.0.0.1:9', '\0:80'],
];

test.serial('a peer with an address that no call can use counts as gone', async (t) => {
  // Guards against hosts that a heartbeat of another writer ends: its address is called in an outage.
  t.timeout(TEST_TIMEOUT_MS);
  watchRejections(t);
  for (const address of ODD_ADDRESSES) await checkNoAnswer(t, newCaller([peerAt(address)]));
});

test.serial('a peer with an odd address keeps no call from the other peers', async (t) => {
  // Guards against calls that end at the first odd address among those of sound hosts.
  watchRejections(t);
  const sound = await newPeer('c', true);
  t.teardown(() => sound.server.close());
  const caller = newCaller([peerAt('127.0.0.1:99999'), sound.peer]);
  t.is(await caller.write(END), 'written');
  t.deepEqual(await caller.fetchNewerSettings(1), ['version 2']);
  t.is(await caller.handOver(handover), 'c');
  t.is(await caller.probeStoreAccess(), 'steady');
  await caller.begin(handover.batch);
  t.deepEqual([...sound.begun], ['b']);
});

const result = (json: string): string => `{"result":{"data":${json}}}`;

const nest = (): string => '['.repeat(DEPTH) + ']'.repeat(DEPTH);

const ODD_ANSWERS: Record<string, RequestListener[]> = {
  'of another type': [
    ...['7', '"x"', 'true', '{}', '[7]', '[null]', '[[]]', '[{"digest":7}]', '1e999', '-1'],
    ...['[{"failureDomain":"detroit","isEvacuated":true,"offset":"x"}]', '{"length":1}'],
  ].map((json) => answerWith(result(json))),
  'that is no result': [
    ...['', 'null', '7', '{}', '[]', '{"error":null}', '{"error":{}}', '{"result":null}', 'oops'],
    ...['{"error":{"message":{"a":1},"code":"x","data":null}}', '{"error":{"message":7,"code":1}}'],
  ].map((json) => answerWith(json)),
  'that is nested too deep': [answerWith(result(nest())), answerWith(`{"error":${nest()}}`)],
  'that is too large': [
    answerWith(result(JSON.stringify('x'.repeat(HUGE_BYTES)))),
    (request, response) => {
      request.resume();
      response.removeHeader('transfer-encoding');
      response.writeHead(200, { connection: 'close' });
      response.end(' '.repeat(HUGE_BYTES));
    },
  ],
  'that points elsewhere': [
    (request, response) => {
      request.resume();
      response.writeHead(307, { location: 'http://127.0.0.1:99999/' });
      response.end();
    },
  ],
};

/** A value of another type may be right for some of the calls. */
const isOddForAll = (kind: string): boolean => kind !== 'of another type';

/** Others are calls that the peer refused, or that went elsewhere. */
const hasCounter = (kind: string): boolean =>
  ['of another type', 'that is nested too deep', 'that is too large'].includes(kind);

Object.entries(ODD_ANSWERS).forEach(([kind, answers]) => {
  test.serial(`an answer of a peer ${kind} counts as none`, async (t) => {
    // Guards against hosts that a faulty peer ends, or whose state its answers spoil.
    t.timeout(TEST_TIMEOUT_MS);
    watchRejections(t);
    for (const answer of answers) {
      const metrics = newMetrics();
      const caller = newCaller([await newOddPeer(t, answer)], null, metrics);
      if (isOddForAll(kind)) await checkNoAnswer(t, caller);
      else {
        t.is(await caller.write(END), 'unknown');
        t.deepEqual(await caller.fetchEvacuations(), []);
        t.deepEqual(await caller.exchangeCrashes([CRASH]), []);
        t.is(await caller.probeStoreAccess(), 'none');
        await caller.begin(handover.batch);
      }
      if (hasCounter(kind)) t.true(metrics.readCounter('values_unreadable_of_peers') > 0, kind);
    }
  });
});

test.serial('a wait that a peer states beyond any hold counts as no answer', async (t) => {
  // Guards against requests that a faulty peer holds back for good.
  for (const json of ['1e308', '1e999', '-1', '"7"', '9007199254740991']) {
    const caller = newCaller([await newOddPeer(t, answerWith(result(json)))]);
    t.is(await caller.trials.claim('deadly', [CRASH]), null, json);
  }
});

test.serial('an answer that never ends costs its call alone', async (t) => {
  // Guards against a host that runs out of memory while a faulty peer sends.
  t.timeout(TEST_TIMEOUT_MS);
  watchRejections(t);
  let sentBytes = 0;
  const chunk = Buffer.alloc(1_000_000, ' ');
  const peer = await newOddPeer(t, (request, response) => {
    request.resume();
    response.writeHead(200, { 'content-type': 'application/json' });
    const send = (): void => {
      while (!response.destroyed && response.write(chunk)) sentBytes += chunk.length;
    };
    response.on('drain', send);
    send();
  });
  t.deepEqual(await newCaller([peer]).fetchNewerSettings(1), []);
  t.true(sentBytes < 100_000_000, `${sentBytes} bytes`);
});

import { createServer, request as httpRequest } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import newTestMemory from '@cyclamengate/fakes/newTestMemory';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { RelayedRequest } from '../src/newPlainAttempt.js';
import type { RelayOutcome } from '../src/relayOutcome.js';
import newStreamRelay from '../src/newStreamRelay.js';
import { answering, holding, newRequest, newUpstreams, silentLog } from './helpers.js';
import type { Behaviour } from './helpers.js';

const event = (id: number): string => `id: ${id}\ndata: ${id}\n\n`;

/** Sends events from the requested one on, up to the last one. */
const sending =
  (last: number, { breaksOff = false, extra = '' } = {}): Behaviour =>
  async (request, signal) => {
    const first = Number(request.lastEventId ?? 0) + 1;
    const ids = Array.from({ length: last - first + 1 }, (_, index) => first + index);
    return answering([...ids.map(event), extra], { isTruncated: breaksOff })(request, signal);
  };

/** Lets what was sent arrive at the caller. */
const waitForDelivery = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, 50);
  });

/** Sends two events, then breaks off. */
const breaking: Behaviour = async (request, signal) => {
  const outcome = await answering([])(request, signal);
  if (outcome.type !== 'answer') return outcome;
  async function* body(): AsyncGenerator<Buffer> {
    yield Buffer.from(event(1) + event(2));
    await waitForDelivery();
    throw new TruncatedAnswer('reset');
  }
  return { type: 'answer', answer: { ...outcome.answer, body: body() } };
};

/** Sends two events, then nothing until it is aborted. */
const stalling: Behaviour = async (request, signal) => {
  const outcome = await answering([])(request, signal);
  if (outcome.type !== 'answer') return outcome;
  async function* body(): AsyncGenerator<Buffer> {
    yield Buffer.from(event(1) + event(2));
    await new Promise((resolve) => {
      signal.addEventListener('abort', resolve);
    });
    throw new TruncatedAnswer('aborted');
  }
  return { type: 'answer', answer: { ...outcome.answer, body: body() } };
};

interface Reception {
  status: number;
  signature: string | undefined;
  text: string;
  isComplete: boolean;
}

const receive = async (response: IncomingMessage): Promise<Reception> => {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) chunks.push(chunk as Buffer);
  } catch {
    // A destroyed connection; `complete` tells.
  }
  const text = Buffer.concat(chunks).toString();
  const signature = response.headers['server-stamp']?.toString();
  return { status: response.statusCode ?? 0, signature, text, isComplete: response.complete };
};

/** Relays one stream from upstreams with the given behaviours to a caller over HTTP. */
const relayStream = async (
  t: ExecutionContext,
  clock: ManualClock,
  behaviours: Record<string, Behaviour>,
  changes: Partial<RelayedRequest> = {},
) => {
  const upstreams = newUpstreams(clock, behaviours);
  const relay = newStreamRelay({ clock, log: silentLog, ...upstreams });
  const outcomes: RelayOutcome[] = [];
  const server = createServer(async (_request, response: ServerResponse) => {
    const { signal } = new AbortController();
    outcomes.push(await relay(newRequest(clock, changes), response, signal));
    if (!response.headersSent) response.writeHead(503).end();
  });
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const received = new Promise<Reception>((resolve, reject) => {
    httpRequest({ host: '127.0.0.1', port }, (response) => resolve(receive(response)))
      .once('error', reject)
      .end();
  });
  return { received, outcomes, sent: upstreams.sent };
};

test('a resumable stream continues at another upstream after its last whole event', async (t) => {
  // An engine crashes in the middle of an event. Guards against events that are missing or repeated.
  const clock = newManualClock();
  const crashing: Behaviour = async (request, signal) =>
    (request.lastEventId === null
      ? sending(3, { breaksOff: true, extra: 'id: 4\nda' })
      : sending(5))(request, signal);
  const { received, sent } = await relayStream(t, clock, { a: crashing, b: crashing });
  const { status, text, isComplete } = await received;
  t.is(status, 200);
  t.is(text, [1, 2, 3, 4, 5].map(event).join(''));
  t.true(isComplete);
  t.is(sent[1]?.request.lastEventId, '3');
});

test('a resumable stream whose upstream falls silent continues at another one', async (t) => {
  // Guards against a caller that waits on a connection that was forgotten between the two ends.
  const clock = newManualClock();
  const behave: Behaviour = (request, signal) =>
    (request.lastEventId === null ? stalling : sending(4))(request, signal);
  const { received, outcomes } = await relayStream(t, clock, { a: behave, b: behave });
  while (outcomes.length === 0) await clock.advance(50);
  const { text, isComplete } = await received;
  t.is(text, [1, 2, 3, 4].map(event).join(''));
  t.true(isComplete);
});

test('a stream that cannot be resumed ends so that its caller sees it broken', async (t) => {
  // Guards against part of a stream that a caller takes for the whole of it.
  const clock = newManualClock();
  const { received, sent } = await relayStream(
    t,
    clock,
    { a: breaking, b: breaking },
    { isIdempotent: false },
  );
  const { text, isComplete } = await received;
  t.is(text, event(1) + event(2));
  t.false(isComplete);
  t.is(sent.length, 1);
});

test('a stream that is held back is refused as not run, with the time to come back', async (t) => {
  // Guards against a stream that ends engines and is tried on each of them in vain.
  const clock = newManualClock();
  const behave = holding(clock.now() + 5_000);
  const { received, outcomes, sent } = await relayStream(t, clock, { a: behave, b: behave });
  t.is((await received).status, 503);
  const [result] = outcomes;
  t.is(sent.length, 1);
  t.true(result?.type === 'refusal' && !result.hasRun);
  t.true(result?.type === 'refusal' && result.refusal.retryAfterMs === 5_000);
});

test('an event that never ends is collected up to the memory of its answer only', async (t) => {
  // Guards against an upstream that sends bytes without an end, which its host would collect.
  const clock = newManualClock();
  const memory = newTestMemory(1_000_000);
  let parts = 0;
  const endless: Behaviour = async (request, signal) => {
    const outcome = await answering([])(request, signal);
    if (outcome.type !== 'answer') return outcome;
    async function* body(): AsyncGenerator<Buffer> {
      yield Buffer.from(event(1));
      await waitForDelivery();
      for (; parts < 100; parts += 1) yield Buffer.alloc(50_000, 'x');
    }
    return { type: 'answer', answer: { ...outcome.answer, body: body() } };
  };
  const { received, outcomes } = await relayStream(
    t,
    clock,
    { a: endless },
    { isIdempotent: false, answerLease: memory.hold('answers', 0) },
  );
  const { text, isComplete } = await received;
  t.is(text, event(1));
  t.false(isComplete);
  t.is(outcomes[0]?.type, 'refusal');
  t.true(memory.heldBytes('bodies') <= 1_000_000);
  t.true(parts < 20, 'read on beyond the limit');
});

/** As another behaviour, with a signature of its upstream in its head. */
const signing =
  (signature: string, behave: Behaviour): Behaviour =>
  async (request, signal) => {
    const outcome = await behave(request, signal);
    if (outcome.type !== 'answer') return outcome;
    const headers = { 'server-stamp': signature };
    return { type: 'answer', answer: { ...outcome.answer, headers, signature } };
  };

test("a stream that is resumed after its last event bears its upstream's head", async (t) => {
  // Guards against a success of no upstream: its caller has every event, but can't know that the stream
  // was whole, and gets an answer that doesn't count.
  const clock = newManualClock();
  const behaviours = { a: signing('a', sending(2)) };
  const { received, outcomes } = await relayStream(t, clock, behaviours, { lastEventId: '2' });
  t.deepEqual(await received, { status: 200, signature: 'a', text: '', isComplete: true });
  t.like(outcomes[0], { type: 'answer', answer: { signature: 'a' } });
});

test('a stream bears the head of the upstream that gave its first event', async (t) => {
  // Guards against a head of an upstream that gave nothing, before events of another one.
  const clock = newManualClock();
  const cut = sending(0, { breaksOff: true, extra: 'id: 1\nda' });
  const asked: string[] = [];
  const cuttingFirst = (id: string): Behaviour =>
    signing(id, (request, signal) => {
      asked.push(id);
      return (asked.length === 1 ? cut : sending(2))(request, signal);
    });
  const upstreams = { a: cuttingFirst('a'), b: cuttingFirst('b') };
  const { received } = await relayStream(t, clock, upstreams);
  const { signature, text, isComplete } = await received;
  t.is(signature, asked[1]);
  t.is(text, event(1) + event(2));
  t.true(isComplete);
});

test('a stream whose upstream falls silent ends at its deadline', async (t) => {
  // Guards against a stream that nothing but its caller ends, since no other upstream could resume it.
  const clock = newManualClock();
  const changes = { isIdempotent: false, deadline: clock.now() + 1_500 };
  const { received, outcomes } = await relayStream(t, clock, { a: stalling }, changes);
  await waitForDelivery();
  await clock.advance(1_400);
  t.is(outcomes.length, 0);
  await clock.advance(200);
  t.like(await received, { text: event(1) + event(2), isComplete: false });
  t.like(outcomes[0], { type: 'refusal', hasRun: true });
});

test('a stream that breaks the code around it leaves no load at its upstream', async (t) => {
  // Guards against an upstream that looks ever fuller, since each error keeps a place of it.
  const clock = newManualClock();
  const throwing: Behaviour = async () => {
    throw new TypeError('Invalid URL');
  };
  const upstreams = newUpstreams(clock, { a: throwing });
  const relay = newStreamRelay({ clock, log: silentLog, ...upstreams });
  const response = { headersSent: false } as ServerResponse;
  const { signal } = new AbortController();
  await t.throwsAsync(() => relay(newRequest(clock), response, signal));
  t.is(upstreams.loads.countLocal('a'), 0);
});

test('a resumable stream with an id that is no header continues at another upstream', async (t) => {
  // Guards against a stream that breaks off, and sound upstreams that are avoided, since what one engine
  // sent as an id can't be sent to the next.
  const clock = newManualClock();
  const odd: Behaviour = async (request, signal) =>
    (request.lastEventId === null
      ? answering([event(1), event(2), 'id: \u20ac\ndata: 3\n\n'])
      : sending(4))(request, signal);
  const { received, sent } = await relayStream(t, clock, { a: odd, b: odd });
  const { text, isComplete } = await received;
  t.is(text, [1, 2, 3, 4].map(event).join(''));
  t.true(isComplete);
  t.is(sent[1]?.request.lastEventId, '2');
});

test('data of an event that looks like an id behind another line separator is none', async (t) => {
  // Guards against events that are missing after a stream was resumed: what a model writes was taken for
  // the place where the stream was.
  const clock = newManualClock();
  const first = 'id: 1\ndata: a\u2028id: 7\n\n';
  const crashing: Behaviour = async (request, signal) =>
    (request.lastEventId === null ? answering([first], { isTruncated: true }) : sending(3))(
      request,
      signal,
    );
  const { received, sent } = await relayStream(t, clock, { a: crashing, b: crashing });
  await received;
  t.is(sent[1]?.request.lastEventId, '1');
});

test('an event without an end is given up whatever its answer calls itself', async (t) => {
  // Guards against hosts near the end of their memory, since the bytes of an answer that is no stream of
  // events were collected as one event until the deadline.
  const clock = newManualClock();
  let pieces = 0;
  const endless: Behaviour = async (request, signal) => {
    const outcome = await answering([])(request, signal);
    if (outcome.type !== 'answer') return outcome;
    async function* body(): AsyncGenerator<Buffer> {
      for (; pieces < 160; pieces += 1) yield Buffer.alloc(65_536, 'x');
    }
    return { type: 'answer', answer: { ...outcome.answer, isEventStream: false, body: body() } };
  };
  const { received, outcomes } = await relayStream(t, clock, { a: endless });
  await received;
  t.like(outcomes[0], { type: 'refusal', hasRun: true });
  t.true(pieces < 80, `${pieces} pieces`);
});

import newMetrics from '@cyclamengate/common/newMetrics';
import test from 'ava';
import newAnswerGuard from '../src/newAnswerGuard.js';
import TruncatedAnswer from '../src/TruncatedAnswer.js';
import UpstreamClient from '../src/UpstreamClient.js';
import type { UpstreamAnswer, UpstreamOutcome } from '../src/UpstreamClient.js';
import { newEntry, silentLog } from './helpers.js';
import { newRequest } from './newGuard.js';

const EVENTS = ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n'];
const neverAborted = new AbortController().signal;

async function* yieldChunks(texts: string[]): AsyncGenerator<Buffer> {
  for (const text of texts) yield Buffer.from(text);
}

interface Head extends Pick<UpstreamAnswer, 'hasLength' | 'isEventStream'> {
  signature: string | null;
  status: number;
}

/** Sends one request whose answer has the given head and chunks. */
const sendThrough = (
  chunks: string[],
  { hasLength = true, isEventStream = true, signature = 's', status = 200 }: Partial<Head> = {},
  isUpstreamGone = false,
): Promise<UpstreamOutcome> => {
  class FakeClient extends UpstreamClient {
    async send(): Promise<UpstreamOutcome> {
      const head = { status, headers: {}, signature, load: null, version: 1 };
      const body = yieldChunks(chunks);
      return { type: 'answer', answer: { ...head, hasLength, isEventStream, body } };
    }

    async hasEnded(): Promise<boolean> {
      return isUpstreamGone;
    }

    heldUntil(): null {
      return null;
    }

    isConnected(): boolean {
      return true;
    }

    closeConnections(): void {}
  }
  const guard = newAnswerGuard({ log: silentLog, metrics: newMetrics(), client: new FakeClient() });
  return guard.send(newEntry('a'), newRequest('{}'), Number.POSITIVE_INFINITY, neverAborted);
};

/** The body that arrived, and whether it was whole; or why there is none. */
const read = async (outcome: UpstreamOutcome) => {
  if (outcome.type === 'fault') {
    return outcome.fault.type === 'held' ? 'held' : outcome.fault.reason;
  }
  const chunks: Buffer[] = [];
  let isWhole = true;
  try {
    for await (const chunk of outcome.answer.body) chunks.push(chunk);
  } catch (error) {
    if (!(error instanceof TruncatedAnswer)) throw error;
    isWhole = false;
  }
  return { text: Buffer.concat(chunks).toString(), isWhole };
};

[true, false].forEach((hasLength) => {
  const framing = hasLength ? 'with' : 'without';
  test(`a stream ${framing} a length that ends within an event is not whole`, async (t) => {
    // Guards against a text that is cut within an event and taken for a whole sample.
    const text = EVENTS.join('');
    for (let cutAt = 0; cutAt <= text.length; cutAt += 1) {
      const isBetweenEvents = [0, EVENTS[0]?.length, text.length].includes(cutAt);
      const chunks = [text.slice(0, cutAt)].filter(Boolean);
      t.like(await read(await sendThrough(chunks, { hasLength })), { isWhole: isBetweenEvents });
    }
  });
});

test('events may end with any kind of line end, and anywhere in a chunk', async (t) => {
  // Guards against whole streams that are taken for cut ones.
  for (const lineEnd of ['\n', '\r\n', '\r']) {
    const text = EVENTS.join('').replaceAll('\n', lineEnd);
    t.like(await read(await sendThrough([...text])), { text, isWhole: true });
    const cut = text.slice(0, -lineEnd.length);
    t.like(await read(await sendThrough([...cut])), { isWhole: false });
  }
});

test('an answer without a length is not whole if its upstream ended with it', async (t) => {
  // Guards against half an answer of an upstream that was killed, whose connections are closed as if
  // it were done: between two events, before the first one, or within a plain body.
  for (const isEventStream of [true, false]) {
    for (const chunks of [EVENTS, EVENTS.slice(0, 1), []]) {
      const unframed = { hasLength: false, isEventStream };
      t.like(await read(await sendThrough(chunks, unframed, true)), { isWhole: false });
      t.like(await read(await sendThrough(chunks, unframed, false)), { isWhole: true });
    }
  }
});

test('an answer with a length is whole although its upstream has ended since', async (t) => {
  // Guards against whole answers that are thrown away.
  t.like(await read(await sendThrough(EVENTS, {}, true)), { isWhole: true });
  const plain = { isEventStream: false };
  t.like(await read(await sendThrough(['{}'], plain, true)), { text: '{}', isWhole: true });
});

test('a success without a signature is passed on to no one', async (t) => {
  // Guards against bytes of no upstream that a caller takes for its answer, an item for its text, or a
  // scoring call for its score.
  t.is(
    await read(await sendThrough(['{}'], { signature: null, isEventStream: false })),
    'unsigned answer',
  );
  t.is(await read(await sendThrough([], { signature: null })), 'unsigned answer');
  t.is(await read(await sendThrough([], { signature: null, status: 204 })), 'unsigned answer');
  t.like(
    await read(await sendThrough(['no'], { signature: null, status: 500, isEventStream: false })),
    {
      text: 'no',
    },
  );
});

test('an event that never ends is given up', async (t) => {
  // Guards against hosts that collect bytes without end, which an upstream in trouble may send.
  const filler = 'x'.repeat(1_000_000);
  const chunks = [...EVENTS, 'id: 3\ndata: ', ...Array.from({ length: 6 }, () => filler)];
  t.like(await read(await sendThrough(chunks)), { isWhole: false });
  const comments = Array.from({ length: 6 }, () => `:${filler}\n`);
  t.like(await read(await sendThrough(comments)), { isWhole: false });
  const large = ['data: ', filler, filler, '\n\n'];
  t.like(await read(await sendThrough([...large, ...large, ...large])), { isWhole: true });
});

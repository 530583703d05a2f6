import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import UpstreamClient from '@cyclamengate/engines/UpstreamClient';
import type { UpstreamOutcome, UpstreamRequest } from '@cyclamengate/engines/UpstreamClient';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { EventReader } from '../src/EventReader.js';
import { newProgress } from '../src/progress.js';
import type { Progress } from '../src/progress.js';
import runOnce from '../src/runOnce.js';
import { eventLine, newEntry, newLineReader } from './helpers.js';

async function* stream(lines: string[], end: 'whole' | 'broken'): AsyncGenerator<Buffer> {
  for (const line of lines) yield Buffer.from(line);
  if (end === 'broken') throw new TruncatedAnswer('reset');
}

interface RunOptions {
  end?: 'whole' | 'broken';
  progress?: Progress;
  minVersion?: number;
  version?: number | null;
  status?: number;
  maxTextBytes?: number;
  newEventReader?: () => EventReader;
}

const run = async (
  lines: string[],
  {
    end = 'whole',
    progress = newProgress(),
    minVersion = 1,
    version = 1,
    status = 200,
    maxTextBytes = Number.POSITIVE_INFINITY,
    newEventReader = newLineReader,
  }: RunOptions = {},
) => {
  let textBytes = 0;
  const sent: UpstreamRequest[] = [];
  const read = { isToEnd: false };

  async function* readAll(): AsyncGenerator<Buffer> {
    yield* stream(lines, end);
    read.isToEnd = true;
  }

  class FakeClient extends UpstreamClient {
    async send(_entry: UpstreamEntry, request: UpstreamRequest): Promise<UpstreamOutcome> {
      sent.push(request);
      const body = readAll();
      const head = { status, headers: {}, signature: 's', load: null };
      return {
        type: 'answer',
        answer: { ...head, isEventStream: true, hasLength: true, version, body },
      };
    }

    async hasEnded(): Promise<boolean> {
      return false;
    }

    heldUntil(): null {
      return null;
    }

    isConnected(): boolean {
      return true;
    }

    closeConnections(): void {}
  }
  const outcome = await runOnce({
    clock: newManualClock(),
    client: new FakeClient(),
    newEventReader,
    entry: newEntry('a'),
    progress,
    request: {
      requestId: '1',
      method: 'POST',
      path: '/',
      hostName: 'parts.example',
      headers: {},
      body: Buffer.alloc(0),
      customer: null,
      deadline: null,
      lastEventId: progress.lastEventId,
    },
    isVersionAllowed: (candidate) => candidate >= minVersion,
    holdText: (bytes) => {
      textBytes += bytes;
      return textBytes <= maxTextBytes;
    },
    onEvent: () => {},
    onLoad: () => {},
    onAccepted: () => {},
    signal: new AbortController().signal,
  });
  return { outcome, progress, sent, read };
};

test('a text lists every version that generated one of its events', async (t) => {
  // New weights arrive in the middle of a text, and the engine continues with them.
  const { outcome, progress } = await run([
    eventLine(1, 'a'),
    eventLine(2, 'b', 2),
    eventLine(3, 'c'),
  ]);
  t.is(outcome.type, 'whole');
  t.deepEqual(progress.versions, [1, 2]);
  t.deepEqual(progress.events, ['a', 'b', 'c']);
});

test('a version that generated no complete event is not listed', async (t) => {
  // The engine fails right after a version change, and the event of the new version is truncated.
  const { progress } = await run([eventLine(1, 'a'), '[2,"b'], { end: 'broken' });
  t.deepEqual(progress.versions, [1]);
  t.deepEqual(progress.events, ['a']);
});

test('an interrupted text is retained, and the next run resumes after it', async (t) => {
  // The engine crashes in the middle of a text. Generated again from the start, a long text would
  // miss its step.
  const first = await run([eventLine(1, 'a'), eventLine(2, 'b')], { end: 'broken' });
  t.like(first.outcome, { type: 'interrupted', cause: 'cut' });
  const second = await run([eventLine(3, 'c')], { progress: first.progress, version: 4 });
  t.is(second.sent[0]?.lastEventId, '2');
  t.is(second.outcome.type, 'whole');
  t.deepEqual(second.progress.events, ['a', 'b', 'c']);
  t.deepEqual(second.progress.versions, [1, 4]);
});

test('a missing or duplicate event ends the run before it', async (t) => {
  const gap = await run([eventLine(1, 'a'), eventLine(3, 'c')]);
  t.is(gap.outcome.type, 'interrupted');
  t.deepEqual(gap.progress.events, ['a']);
  const progress: Progress = { events: ['a'], lastEventId: '1', versions: [1] };
  const twice = await run([eventLine(1, 'a')], { progress });
  t.is(twice.outcome.type, 'interrupted');
  t.deepEqual(twice.progress.events, ['a']);
});

test('tokens of a version that is too old are not accepted', async (t) => {
  // The engine's entry states the new weights, but its response states older ones.
  const { outcome, progress } = await run([eventLine(1, 'a')], { minVersion: 2, version: 1 });
  t.like(outcome, { type: 'interrupted', cause: 'version' });
  t.deepEqual(progress.events, []);
});

test('tokens without a version are not accepted', async (t) => {
  const { outcome } = await run([eventLine(1, 'a')], { version: null });
  t.is(outcome.type, 'interrupted');
});

for (const [status, type] of [
  [500, 'failed'],
  [422, 'impossible'],
] as const) {
  test(`the answer of a run that ends with ${status} is read to its end`, async (t) => {
    // Guards against a new connection for each failed run: an unread answer blocks its connection.
    const { outcome, read } = await run(['out of order'], { status });
    t.is(outcome.type, type);
    t.true(read.isToEnd);
  });

  test(`a run that ends with ${status} counts although its answer breaks off`, async (t) => {
    const { outcome } = await run(['out of'], { status, end: 'broken' });
    t.is(outcome.type, type);
  });
}

test('a text that has no room ends its run, also in an event that never ends', async (t) => {
  // Guards against an engine that sends bytes without an end, which its host would collect.
  const lines = [eventLine(1, 'a'), ...Array.from({ length: 50 }, () => '[2,"endless')];
  const { outcome, progress, read } = await run(lines, { maxTextBytes: 100 });
  t.is(outcome.type, 'no-room');
  t.false(read.isToEnd);
  t.deepEqual(progress.events, ['a']);
});

test('an answer that breaks its reader fails this run alone', async (t) => {
  // Guards against hosts that end by what an engine sent, in the run of an item, which nothing awaits.
  const breaking: EventReader = () => {
    throw new RangeError('Maximum call stack size exceeded');
  };
  const { outcome } = await run([eventLine(1, 'a')], { newEventReader: () => breaking });
  t.is(outcome.type, 'broken');
});

['', '1e308', '-1', '1.5', '0x1', '\u20ac', '9'.repeat(400)].forEach((id) => {
  test(`an event whose id is no count is not taken: ${id.slice(0, 8)}`, async (t) => {
    // Guards against a text that no engine can continue, since the id is sent to the next one as a header:
    // each engine would be asked in vain, and avoided for it.
    const readOdd: EventReader = () => [{ id, data: 'a', version: null }];
    const { outcome, progress } = await run(['x'], { newEventReader: () => readOdd });
    t.like(outcome, { type: 'interrupted', cause: 'cut' });
    t.is(progress.lastEventId, null);
  });
});

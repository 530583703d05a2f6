import fc from 'fast-check';

/** How an upstream answers one request; it repeats the last of a call's answers. */
export interface WireAnswer {
  status: number;
  /** Whose id it bears. */
  id: 'own' | 'none' | 'foreign';
  hasStamp: boolean;
  hasInterim: boolean;
  /** Any further lines of the head. */
  header: string;
  framing: 'length' | 'chunked' | 'none';
  lineEnd: string;
  /** Bytes of the whole answer after which it stops; null for none, negative from its end. */
  cutAt: number | null;
  /** How it ends where it is cut, or where its framing needs an end. */
  end: 'close' | 'reset' | 'silence' | 'endless';
  /** Sizes of the parts that are sent, each after some time. */
  parts: number[];
  /** What follows a whole answer. */
  extra: 'none' | 'copy' | 'late copy' | 'garbage';
  /** Bytes of a plain body. */
  bytes: number;
}

export type WireReader = 'plain' | 'slow' | 'stream' | 'item' | 'report' | 'order';

export interface WireCall {
  reader: WireReader;
  answers: WireAnswer[];
}

const oftenFirst = <T>(usual: T, ...others: T[]): fc.Arbitrary<T> =>
  fc.oneof(
    { weight: 3, arbitrary: fc.constant(usual) },
    { weight: 1, arbitrary: fc.constantFrom(...others) },
  );

const LARGE_BYTES = 3_000_000;

const drawAnswer: fc.Arbitrary<WireAnswer> = fc.record({
  status: oftenFirst(200, 200, 200, 201, 204, 206, 299, 304, 400, 421, 422, 429, 500, 503, 999),
  id: oftenFirst<WireAnswer['id']>('own', 'none', 'foreign'),
  hasStamp: oftenFirst(true, false),
  hasInterim: oftenFirst(false, true),
  header: oftenFirst(
    '',
    ...[
      'not-executed: 1',
      'connection: close',
      'keep-alive: timeout=0',
      'instance-load: 1e999,,-1',
    ],
    ...[
      'weight-versions: x',
      'retry-after: -1',
      'content-encoding: gzip',
      `x: ${'y'.repeat(20_000)}`,
    ],
    ...['server-stamp:', 'attempt-id: r-9', 'content-length: 7', 'transfer-encoding: gzip', ': x'],
  ),
  framing: fc.constantFrom<WireAnswer['framing']>('length', 'chunked', 'none'),
  lineEnd: oftenFirst('\n', '\r\n', '\r'),
  cutAt: fc.option(fc.integer({ min: -120, max: 260 }), { freq: 2 }),
  end: oftenFirst<WireAnswer['end']>('close', 'reset', 'reset', 'silence', 'endless'),
  parts: fc.array(fc.integer({ min: 1, max: 150 }), { maxLength: 3 }),
  extra: oftenFirst<WireAnswer['extra']>('none', 'copy', 'late copy', 'garbage'),
  bytes: oftenFirst(20, 0, 1, 20, 20, 70_000, LARGE_BYTES),
});

/** Draws what a host calls at one upstream, one call after the other, and how that answers. */
export const drawWireScript: fc.Arbitrary<WireCall[]> = fc.array(
  fc.record({
    reader: fc.constantFrom<WireReader>(
      ...([
        'plain',
        'plain',
        'slow',
        'stream',
        'stream',
        'item',
        'item',
        'report',
        'order',
      ] as const),
    ),
    answers: fc.array(drawAnswer, { minLength: 1, maxLength: 3 }),
  }),
  { minLength: 1, maxLength: 4, size: 'max' },
);

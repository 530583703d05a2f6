import fc from 'fast-check';

export type WireReader = 'plain' | 'slow' | 'stream' | 'item' | 'report' | 'order';

const oftenFirst = <T>(usual: T, ...others: T[]): fc.Arbitrary<T> =>
  fc.oneof(
    { weight: 3, arbitrary: fc.constant(usual) },
    { weight: 1, arbitrary: fc.constantFrom(...others) },
  );

const LARGE_BYTES = 3_000_000;

const HEADERS = [
  ...['not-executed: 1', 'connection: close', 'keep-alive: timeout=0', 'instance-load: 1e999,,-1'],
  ...[
    'weight-versions: x',
    'retry-after: -1',
    'content-encoding: gzip',
    `x: ${'y'.repeat(20_000)}`,
  ],
  ...['server-stamp:', 'attempt-id: r-9', 'content-length: 7', 'transfer-encoding: gzip', ': x'],
];

/** How an upstream answers one request; it repeats the last of a call's answers. */
const drawAnswer = fc.record({
  status: oftenFirst(200, 200, 200, 201, 204, 206, 299, 304, 400, 421, 422, 429, 500, 503, 999),
  /** Whose id it bears. */
  id: oftenFirst<'own' | 'none' | 'foreign'>('own', 'none', 'foreign'),
  hasStamp: oftenFirst(true, false),
  hasInterim: oftenFirst(false, true),
  /** A further line of the head. */
  header: oftenFirst('', ...HEADERS),
  framing: fc.constantFrom<('length' | 'chunked' | 'none')[]>('length', 'chunked', 'none'),
  lineEnd: oftenFirst('\n', '\r\n', '\r'),
  /** Bytes of the whole answer after which it stops; null for none, negative from its end. */
  cutAt: fc.option(fc.integer({ min: -120, max: 260 }), { freq: 2 }),
  /** How it ends where it is cut, or where its framing needs an end. */
  end: oftenFirst<'close' | 'reset' | 'silence' | 'endless'>(
    ...(['close', 'reset', 'reset', 'silence', 'endless'] as const),
  ),
  /** Sizes of the parts that are sent, each after some time. */
  parts: fc.array(fc.integer({ min: 1, max: 150 }), { maxLength: 3 }),
  /** Whether each carriage return ends a part as well. */
  splitsLineEnds: oftenFirst(false, true),
  /** What follows a whole answer. */
  extra: oftenFirst<'none' | 'copy' | 'late copy' | 'garbage'>(
    ...(['none', 'copy', 'late copy', 'garbage'] as const),
  ),
  /** Of a plain body. */
  bytes: oftenFirst(20, 0, 1, 20, 20, 70_000, LARGE_BYTES),
});

export type WireAnswer = typeof drawAnswer extends fc.Arbitrary<infer T> ? T : never;

/** Draws what a host calls at one upstream, one call after the other, and how that answers. */
export const drawWireScript = fc.array(
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

export type WireCall = typeof drawWireScript extends fc.Arbitrary<(infer T)[]> ? T : never;

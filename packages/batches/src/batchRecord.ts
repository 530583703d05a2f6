import listOf from '@cyclamengate/common/listOf';
import recordOf from '@cyclamengate/common/recordOf';
import { z } from 'zod';
import { headerNameSchema, headerValueSchema, idSchema, pathSchema } from './sendable.js';
import { MAX_RECORD_BYTES, MAX_RECORDS_PER_APPEND } from './storeLimits.js';

/** Every host holds the metadata of all items, and the one that runs them more than that. */
export const MAX_ITEMS = 16_384;
/** Far beyond any text, and what sums and estimates bear. */
const MAX_EXPECTED_TOKENS = 10_000_000;
/** Appends of one text or segment. */
const MAX_RUNS = 1_024;
/** Versions of the weights under which one text was generated. */
const MAX_TEXT_VERSIONS = 1_024;
/** The topics of texts and of requests. */
const TEXT_TOPIC = /^(texts|requests)-\d{1,2}$/;

/** A sender's estimate, by which work is ordered and engines are shared out. */
const expectedTokensSchema = z
  .number()
  .transform((tokens) => Math.min(MAX_EXPECTED_TOKENS, Math.max(0, tokens)))
  .nullable();

const versionsSchema = listOf(z.int(), MAX_TEXT_VERSIONS);

/** Request to a scoring service for the score of an item's text. */
export const scoringCallSchema = z.object({
  id: idSchema,
  hostName: headerValueSchema,
  path: pathSchema,
  /** Base64-encoded. */
  body: z.string(),
});

/** One request of a batch. */
export const itemSchema = z.object({
  id: idSchema,
  path: pathSchema,
  headers: recordOf(headerValueSchema, headerNameSchema),
  /** Base64-encoded. */
  body: z.string(),
  /**
   * Number of tokens that the sender expects to be generated: right at the median, often far off
   * for a single item.
   */
  expectedTokens: expectedTokensSchema,
  /** Items of one group share a prompt; a trainer uses only complete groups. */
  group: z.string(),
  scoring: scoringCallSchema.nullable(),
});

export type Item = z.infer<typeof itemSchema>;

/** A request of a batch without the bodies, which can be large. */
export const itemFieldsSchema = itemSchema
  .omit({ body: true })
  .extend({ scoring: scoringCallSchema.omit({ body: true }).nullable() });

export type ItemFields = z.infer<typeof itemFieldsSchema>;

/** A request of a batch with its bodies as bytes, as it is sent to an engine. */
export interface ItemRequest extends Omit<ItemFields, 'scoring'> {
  body: Buffer;
  scoring: (NonNullable<ItemFields['scoring']> & { body: Buffer }) | null;
}

/** A batch as accepted from its sender. */
export const batchSchema = z.object({
  type: z.literal('batch'),
  id: z.string(),
  customer: headerValueSchema.nullable(),
  route: z.string(),
  hostName: headerValueSchema,
  /** Unix time in milliseconds by the accepting host's clock. */
  acceptedAt: z.number().min(0).max(Number.MAX_SAFE_INTEGER),
  step: z.int().nullable(),
  model: z.string().nullable(),
  /** Oldest version of the weights that may generate tokens of the batch. */
  leastVersion: z.int(),
  /** Number of complete groups that the trainer waits for. */
  wantedGroups: z.int(),
  items: listOf(itemSchema),
});

export type Batch = z.infer<typeof batchSchema>;

/** What decides in which regions a batch may run. */
export type BatchOwner = Pick<Batch, 'route' | 'customer'>;

const runFieldsSchema = z.object({
  topic: z.string().regex(TEXT_TOPIC),
  offset: z.int().min(0),
  count: z.int().min(1).max(MAX_RECORDS_PER_APPEND),
  bytes: z.int().min(0),
});

/** Whether so many bytes make so many records. */
const isFilled = ({ count, bytes }: Pick<z.infer<typeof runFieldsSchema>, 'count' | 'bytes'>) =>
  count === Math.max(1, Math.ceil(bytes / MAX_RECORD_BYTES));

const FILLED = 'as many bytes as fill the records';

/** Consecutive records of a text topic, written in one append. */
export const textRunSchema = runFieldsSchema.refine(isFilled, FILLED);

export type TextRun = z.infer<typeof textRunSchema>;

/** Location of a text in the store. A text that is larger than one append has further runs. */
export const textPlaceSchema = runFieldsSchema
  .extend({ rest: listOf(textRunSchema, MAX_RUNS).optional() })
  .refine(isFilled, FILLED);

export type TextPlace = z.infer<typeof textPlaceSchema>;

/**
 * Metadata of an item that every host holds; only the host that runs the item loads its request.
 */
export const itemHeadSchema = z.object({
  id: idSchema,
  group: z.string(),
  expectedTokens: expectedTokensSchema,
  /** Digest of the request; items with equal digests request the same text. */
  digest: z.string(),
  /** Number of the segment that holds the request. */
  segment: z.int().min(0),
});

export type ItemHead = z.infer<typeof itemHeadSchema>;

/** A batch without its requests, which are stored separately. */
export const batchHeadSchema = batchSchema
  .extend({
    type: z.literal('batch-head'),
    items: listOf(itemHeadSchema, MAX_ITEMS),
    /** Locations of the segments that hold the requests, in order. */
    segments: listOf(textPlaceSchema, MAX_ITEMS),
  })
  .refine(
    ({ items, segments }) => items.every(({ segment }) => segment < segments.length),
    'a segment for each item',
  );

export type BatchHead = z.infer<typeof batchHeadSchema>;

/** Final result of an item. */
export const resultSchema = z.object({
  type: z.literal('result'),
  batch: z.string(),
  item: z.string(),
  state: z.enum(['completed', 'abandoned']),
  /** What the engines answered to an abandoned item; left out if it was abandoned for another reason. */
  verdict: z.enum(['impossible', 'failed']).optional(),
  /** Null if there is no text. */
  text: textPlaceSchema.nullable(),
  /** All versions of the weights that generated an event of the text. */
  versions: versionsSchema,
  score: z.string().nullable(),
});

export type Verdict = NonNullable<z.infer<typeof resultSchema>['verdict']>;

export type ItemResult = z.infer<typeof resultSchema>;

/** Ends a batch at its sender's request; further results are not wanted. */
export const batchEndSchema = z.object({ type: z.literal('batch-end'), batch: z.string() });

/**
 * States that a host runs a batch's items regardless of ownership: it began them before the store
 * had the batch, or took them over from a host that left.
 */
export const batchBegunSchema = z.object({
  type: z.literal('batch-begun'),
  batch: z.string(),
  host: z.string(),
  /** Incarnation of the host's process. */
  incarnation: z.string(),
  /** Incarnation that handed the batch over; null if the host began the batch itself. */
  from: z.string().nullable().default(null),
});

export type BatchBegun = z.infer<typeof batchBegunSchema>;

/**
 * Part of the text of an unfinished item, so that another host can resume the item. A writer's
 * first part starts at the beginning of the text; each further part continues what that writer has
 * written.
 */
export const partSchema = z.object({
  type: z.literal('part'),
  batch: z.string(),
  item: z.string(),
  /** Incarnation of the host's process that writes the part. */
  writer: z.string(),
  /** Number of events in the writer's earlier parts. */
  from: z.int().min(0),
  events: listOf(z.string()),
  lastEventId: z.string().nullable(),
  /** Versions of the weights that generated the events so far. */
  versions: versionsSchema,
  /** Whether the text is complete and only its score is missing. */
  isWhole: z.boolean(),
});

export type Part = z.infer<typeof partSchema>;

/** A batch that is handed over to another host, with the partial texts of its items. */
export const handoverSchema = z.object({
  batch: batchSchema,
  texts: listOf(partSchema),
  /** Incarnation that hands the batch over. */
  from: z.string(),
  /**
   * Whether the sender cannot reach the store; a host that cannot reach it either must not take
   * over.
   */
  isSenderCut: z.boolean(),
});

export type Handover = z.infer<typeof handoverSchema>;

/** Records that refer to an existing batch. */
const updateSchemas = [resultSchema, batchEndSchema, batchBegunSchema] as const;

/** Change to a batch as a host submits it; a new batch contains its requests. */
export const batchChangeSchema = z.discriminatedUnion('type', [batchSchema, ...updateSchemas]);

export type BatchChange = z.infer<typeof batchChangeSchema>;

/** Batch record in the topic that all hosts follow; requests are stored separately. */
export const batchRecordSchema = z.discriminatedUnion('type', [batchHeadSchema, ...updateSchemas]);

export type BatchRecord = z.infer<typeof batchRecordSchema>;

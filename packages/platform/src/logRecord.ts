import { z } from 'zod';

/** A record as the log keeps it. The body is opaque to the platform. */
export const logRecordSchema = z.object({
  offset: z.int(),
  /** When the log took it, in milliseconds since the epoch by the log's own clock. */
  at: z.number(),
  body: z.string(),
});

export type LogRecord = z.infer<typeof logRecordSchema>;

export const logPageSchema = z.object({
  records: z.array(logRecordSchema),
  /** The offset after the last record in the log. */
  end: z.int(),
  /** The oldest offset the log still keeps. */
  first: z.int(),
});

export type LogPage = z.infer<typeof logPageSchema>;

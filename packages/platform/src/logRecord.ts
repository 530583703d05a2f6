import { z } from 'zod';

/** A record of the log. The body is opaque to the platform. */
export const logRecordSchema = z.object({
  offset: z.int(),
  /** Time of the append by the log's own clock, in milliseconds since the epoch. */
  at: z.number(),
  body: z.string(),
});

export type LogRecord = z.infer<typeof logRecordSchema>;

export const logPageSchema = z.object({
  records: z.array(logRecordSchema),
  /** The offset after the last record in the log. */
  end: z.int(),
  /** The oldest offset that the log still retains. */
  first: z.int(),
});

export type LogPage = z.infer<typeof logPageSchema>;

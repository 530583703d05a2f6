import { usageFigureSchema } from '@cyclamengate/platform/usageReport';
import { z } from 'zod';
import { windowFiguresSchema } from './usageRecords.js';

const customerFiguresSchema = z.record(z.string(), usageFigureSchema);

export const closedWindowSchema = z.object({
  fence: z.int(),
  figures: customerFiguresSchema,
  reported: z.boolean(),
});

export const usageStateSchema = z.object({
  /** Highest counted sequence number of each host, and when it was counted, by the log's clock. */
  hosts: z.record(z.string(), z.object({ sequence: z.int(), at: z.number() })),
  open: windowFiguresSchema,
  /** Usage that arrived after its window was closed; billed with the next window that closes. */
  late: customerFiguresSchema,
  closed: z.record(z.string(), closedWindowSchema),
  closedThrough: z.int(),
});

export type UsageState = z.infer<typeof usageStateSchema>;

import { usageFigureSchema } from '@cyclamengate/platform/usageReport';
import { z } from 'zod';

/** Figures by window (its start in milliseconds since the epoch) and customer. */
export const windowFiguresSchema = z.record(z.string(), z.record(z.string(), usageFigureSchema));

export type WindowFigures = z.infer<typeof windowFiguresSchema>;

/** A host's usage since its previous sequence number. A delta is sealed: it never changes. */
export const usageDeltaSchema = z.object({
  type: z.literal('usage-delta'),
  host: z.string(),
  sequence: z.int(),
  windows: windowFiguresSchema,
});

export type UsageDelta = z.infer<typeof usageDeltaSchema>;

/** Fixes a window's figures. The fold computes them, so no process can report different ones. */
export const usageCloseSchema = z.object({
  type: z.literal('usage-close'),
  window: z.int(),
  fence: z.int(),
});

export type UsageClose = z.infer<typeof usageCloseSchema>;

/** The platform has acknowledged a window's report. */
export const usageReportedSchema = z.object({
  type: z.literal('usage-reported'),
  window: z.int(),
});

export type UsageReported = z.infer<typeof usageReportedSchema>;

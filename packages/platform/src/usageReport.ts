import { z } from 'zod';

/** Usage of one customer in one window. */
export const usageFigureSchema = z.object({
  requests: z.int().min(0),
  promptTokens: z.int().min(0),
  outputTokens: z.int().min(0),
});

export type UsageFigure = z.infer<typeof usageFigureSchema>;

/** The billed usage of a window by customer. */
export const usageReportSchema = z.object({
  /** Start of the window, in milliseconds since the epoch. */
  window: z.int(),
  fence: z.int(),
  figures: z.record(z.string(), usageFigureSchema),
});

export type UsageReport = z.infer<typeof usageReportSchema>;

import type { UsageCounts } from './coordinationRecord.js';

export interface UsageReport {
  window: number;
  counts: UsageCounts;
  holder: string;
  fencingToken: number;
}

/** The platform's response to a report; after `unknown` the report may have been accepted. */
export type ReportOutcome = 'taken' | 'refused' | 'unknown';

/** The platform's interface for usage reports. */
export default abstract class UsageReports {
  /** @param signal aborts the call and resets its connection so that unsent bytes are discarded */
  abstract send(report: UsageReport, signal: AbortSignal): Promise<ReportOutcome>;
}

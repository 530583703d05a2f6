import type { UsageCounts } from './coordinationRecord.js';

export interface UsageReport {
  window: number;
  counts: UsageCounts;
  holder: string;
  fencingToken: number;
}

/** What the platform said to a report; `unknown` may have been taken. */
export type ReportOutcome = 'taken' | 'refused' | 'unknown';

/** The platform's interface that takes usage reports. */
export default abstract class UsageReports {
  /** @param signal ends the call, and resets its connection so that unsent bytes are dropped */
  abstract send(report: UsageReport, signal: AbortSignal): Promise<ReportOutcome>;
}

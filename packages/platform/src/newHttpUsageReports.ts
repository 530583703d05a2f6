import { Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { z } from 'zod';
import newHttpCaller from './newHttpCaller.js';
import type { PlatformFault } from './platformFault.js';
import type { UsageReport } from './usageReport.js';
import UsageReports from './UsageReports.js';

/** Timeout for the answer to a report. */
export const REPORT_TIMEOUT_MS = 1_500;

/** Client of the platform's report interface over HTTP. */
export const newHttpUsageReports = (url: string): UsageReports => {
  const caller = newHttpCaller(url, REPORT_TIMEOUT_MS);

  class HttpUsageReports extends UsageReports {
    async send(
      report: UsageReport,
      isStillHeld: () => boolean,
    ): Promise<Result<void, PlatformFault>> {
      const answer = await caller.order('/reports', z.unknown(), report, isStillHeld);
      return answer.ok ? Ok(undefined) : answer;
    }
  }
  return new HttpUsageReports();
};

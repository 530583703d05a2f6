import type { Result } from '@cyclamengate/common/outcome';
import type { PlatformFault } from './platformFault.js';
import type { UsageReport } from './usageReport.js';

/** The platform's interface for usage reports. */
export default abstract class UsageReports {
  /** @param isStillHeld checked again when the report is written; if false, nothing is sent */
  abstract send(
    report: UsageReport,
    isStillHeld: () => boolean,
  ): Promise<Result<void, PlatformFault>>;
}

import type { Result } from '@cyclamengate/common/outcome';
import type { PlatformFault } from './platformFault.js';
import type { UsageReport } from './usageReport.js';

/** The platform's interface that takes usage reports. */
export default abstract class UsageReports {
  /** @param isStillHeld asked again in the moment of writing; without its yes nothing is sent */
  abstract send(
    report: UsageReport,
    isStillHeld: () => boolean,
  ): Promise<Result<void, PlatformFault>>;
}

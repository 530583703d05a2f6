import type { Result } from '@cyclamengate/common/outcome';
import type { PlatformFault } from './platformFault.js';
import type { UsageReport } from './usageReport.js';

/** The platform's interface that takes usage reports. */
export default abstract class UsageReports {
  abstract send(report: UsageReport): Promise<Result<void, PlatformFault>>;
}

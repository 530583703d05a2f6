import type { Result } from '@cyclamengate/common/outcome';
import type { LogPage } from './logRecord.js';
import type { PlatformFault } from './platformFault.js';

/** The platform's append-only log. */
export default abstract class PlatformLog {
  /**
   * Appends records atomically and in order.
   * @returns the offset of the first record
   */
  abstract append(bodies: string[], signal?: AbortSignal): Promise<Result<number, PlatformFault>>;

  /**
   * Reads records from an offset on, oldest first. Waits for a while if there are no newer records.
   * For an offset below the retained range, returns the oldest retained records.
   */
  abstract read(from: number, signal?: AbortSignal): Promise<Result<LogPage, PlatformFault>>;
}

import type { Result } from '@cyclamengate/common/outcome';
import type { LogPage } from './logRecord.js';
import type { PlatformFault } from './platformFault.js';

/** The platform's append-only log. */
export default abstract class PlatformLog {
  /**
   * Appends records in order, all or none.
   * @returns the offset of the first one
   */
  abstract append(bodies: string[], signal?: AbortSignal): Promise<Result<number, PlatformFault>>;

  /**
   * Reads from an offset on, oldest first. Waits for a while when there is nothing newer.
   * An offset that retention has passed answers with the oldest records kept.
   */
  abstract read(from: number, signal?: AbortSignal): Promise<Result<LogPage, PlatformFault>>;
}

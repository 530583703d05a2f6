import type { Result } from '@cyclamengate/common/outcome';
import type { LogRecord } from '@cyclamengate/platform/logRecord';
import type { SystemState } from './systemState.js';

/** Why a source gave nothing: it could not be reached, or no longer has what was asked for. */
export type SourceFault = 'unreachable';

/** Records from an offset on, and how current their source was. */
export interface SourcePage {
  records: LogRecord[];
  /** The oldest offset the source still has. */
  first: number;
  /** The oldest offset the log itself keeps, as far as the source knows. */
  logFirst: number;
  /** Milliseconds since the source's records were known to be the log's newest. */
  ageMs: number;
}

/** Where a host can read records: the platform's log itself or a peer that follows it. */
export default abstract class RecordSource {
  abstract readonly name: string;

  abstract read(from: number, signal: AbortSignal): Promise<Result<SourcePage, SourceFault>>;

  /** A whole state, for a reader that is behind what `read` still has; null where there is none. */
  abstract snapshot(signal: AbortSignal): Promise<SystemState | null>;
}

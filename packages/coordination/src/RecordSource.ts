import type { Result } from '@cyclamengate/common/outcome';
import type { LogRecord } from '@cyclamengate/platform/logRecord';
import type { SystemState } from './systemState.js';

/** Why a read failed: the source was unreachable or returned no valid page. */
export type SourceFault = 'unreachable';

/** Records from an offset on, and how current the source is. */
export interface SourcePage {
  records: LogRecord[];
  /** The oldest offset that the source still has. */
  first: number;
  /** The oldest offset that the log itself retains, as far as the source knows. */
  logFirst: number;
  /** Milliseconds since the source's records were known to be the log's newest. */
  ageMs: number;
}

/** A source of records: the platform's log itself or a peer that follows it. */
export default abstract class RecordSource {
  abstract readonly name: string;

  abstract read(from: number, signal: AbortSignal): Promise<Result<SourcePage, SourceFault>>;

  /** A complete state, for readers behind the oldest record of `read`; null if unavailable. */
  abstract snapshot(signal: AbortSignal): Promise<SystemState | null>;
}

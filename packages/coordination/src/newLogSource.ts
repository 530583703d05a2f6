import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type PlatformLog from '@cyclamengate/platform/PlatformLog';
import RecordSource from './RecordSource.js';
import type { SourceFault, SourcePage } from './RecordSource.js';
import type { SystemState } from './systemState.js';

/** The source name of the platform's log. */
export const LOG_SOURCE_NAME = 'log';

/** Reads records directly from the platform's log. */
export const newLogSource = (log: PlatformLog): RecordSource => {
  class LogSource extends RecordSource {
    readonly name = LOG_SOURCE_NAME;

    async read(from: number, signal: AbortSignal): Promise<Result<SourcePage, SourceFault>> {
      const page = await log.read(from, signal);
      if (!page.ok) return Err('unreachable' as const);
      const { records, first } = page.val;
      return Ok({ records, first, logFirst: first, ageMs: 0 });
    }

    async snapshot(): Promise<SystemState | null> {
      return null;
    }
  }
  return new LogSource();
};

import { Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { z } from 'zod';
import { logPageSchema } from './logRecord.js';
import type { LogPage } from './logRecord.js';
import newHttpCaller from './newHttpCaller.js';
import type { PlatformFault } from './platformFault.js';
import PlatformLog from './PlatformLog.js';

const TIMEOUT_MS = 4_000;
/** How long the log may delay a read without newer records; must be well below the timeout. */
const LONG_POLL_MS = 2_000;

const appendAnswerSchema = z.object({ offset: z.int() });

/** Client of the platform's log over HTTP. */
const newHttpPlatformLog = (url: string): PlatformLog => {
  const caller = newHttpCaller(url, TIMEOUT_MS);

  class HttpPlatformLog extends PlatformLog {
    async append(bodies: string[], signal?: AbortSignal): Promise<Result<number, PlatformFault>> {
      const answer = await caller.call(
        'POST',
        '/log/append',
        appendAnswerSchema,
        { bodies },
        signal,
      );
      return answer.ok ? Ok(answer.val.offset) : answer;
    }

    read(from: number, signal?: AbortSignal): Promise<Result<LogPage, PlatformFault>> {
      const path = `/log/read?from=${from}&waitMs=${LONG_POLL_MS}`;
      return caller.call('GET', path, logPageSchema, undefined, signal);
    }
  }
  return new HttpPlatformLog();
};

export default newHttpPlatformLog;

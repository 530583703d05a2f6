import type { AuditEntry } from '@cyclamengate/coordination/auditEntry';
import { EXIT_OK, newFailure } from './commandOutcome.js';
import type { CommandOutcome } from './commandOutcome.js';
import newLogSession from './newLogSession.js';

const formatLine = (entry: AuditEntry): string =>
  [
    new Date(entry.at).toISOString(),
    String(entry.offset).padStart(7),
    entry.action.padEnd(18),
    entry.writer.padEnd(18),
    entry.subject,
    entry.basis && `(${entry.basis})`,
    entry.accepted ? 'accepted' : `REJECTED: ${entry.reason}`,
  ]
    .filter(Boolean)
    .join(' ');

export interface AuditOptions {
  log: string;
  /** Only lines of this action, e.g. `settings-change`. */
  action?: string | undefined;
  /** Number of newest lines to show. */
  last: number;
}

/** Lists the audit trail, as far back as the log retains records. */
const audit = async ({ log, action, last }: AuditOptions): Promise<CommandOutcome> => {
  const session = newLogSession(log);
  const caughtUp = await session.catchUp();
  if (!caughtUp.ok) return newFailure(caughtUp.val);
  const entries = session
    .audit()
    .filter((entry) => !action || entry.action === action)
    .slice(-last);
  return { status: EXIT_OK, text: entries.map(formatLine).join('\n'), json: entries };
};

export default audit;

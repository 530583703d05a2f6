import type { AuditEntry } from '@cyclamengate/coordination/auditEntry';
import { EXIT_OK, failed } from './commandOutcome.js';
import type { CommandOutcome } from './commandOutcome.js';
import newLogSession from './newLogSession.js';

const lineOf = (entry: AuditEntry): string =>
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
  /** Only the newest so many lines. */
  last: number;
}

/** The audit trail, as far back as the log keeps records. */
const audit = async ({ log, action, last }: AuditOptions): Promise<CommandOutcome> => {
  const session = newLogSession(log);
  const caughtUp = await session.catchUp();
  if (!caughtUp.ok) return failed(caughtUp.val);
  const entries = session
    .audit()
    .filter((entry) => !action || entry.action === action)
    .slice(-last);
  return { status: EXIT_OK, text: entries.map(lineOf).join('\n'), json: entries };
};

export default audit;

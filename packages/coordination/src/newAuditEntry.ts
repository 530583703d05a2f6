import type { LogRecord } from '@cyclamengate/platform/logRecord';
import type { Decision } from '@cyclamengate/settings/decision';
import { RENEWED } from './applyLease.js';
import type { AuditEntry } from './auditEntry.js';
import type { Envelope, SystemRecord } from './systemRecord.js';

interface AuditDetails {
  subject: string;
  basis: string;
}

const auditDetails = (record: SystemRecord): AuditDetails | null => {
  switch (record.type) {
    case 'settings-change':
      return {
        subject: record.subtrees.map(({ path }) => path).join(' '),
        basis: record.subtrees.map(({ basedOn }) => `revision ${basedOn}`).join(' '),
      };
    case 'lease-claim':
    case 'lease-release':
      return { subject: record.lease, basis: `offset ${record.basedOn}` };
    case 'usage-close':
      return { subject: `window ${record.window}`, basis: `fence ${record.fence}` };
    case 'usage-reported':
      return { subject: `window ${record.window}`, basis: '' };
    case 'weights-published':
      return { subject: record.trainer, basis: `version ${record.version}` };
    case 'domain-evacuation':
      return {
        subject: `${record.failureDomain} ${record.isEvacuated ? 'evacuated' : 'in use'}`,
        basis: '',
      };
    case 'audit-note':
      return { subject: `${record.subject}: ${record.outcome}`, basis: record.basis };
    default:
      return null;
  }
};

/** Builds the audit entry of a record; null for records that are not administrative. */
const newAuditEntry = (
  { offset, at }: LogRecord,
  { writer }: Envelope,
  record: SystemRecord,
  { accepted, reason }: Decision,
): AuditEntry | null => {
  const details = auditDetails(record);
  // A holder renews every few seconds; the audit trail only lists changes of the holder.
  const isRenewal = record.type === 'lease-claim' && reason === RENEWED.reason;
  if (!details || isRenewal) return null;
  const author = 'operator' in record ? record.operator : writer;
  const action = record.type === 'audit-note' ? record.action : record.type;
  return { offset, at, writer: author, action, ...details, accepted, reason };
};

export default newAuditEntry;

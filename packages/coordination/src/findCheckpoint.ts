import parseJson from '@cyclamengate/common/parseJson';
import { restore } from '@cyclamengate/common/restore';
import type { LogRecord } from '@cyclamengate/platform/logRecord';
import { checkpointRecordSchema } from './checkpointRecord.js';
import { envelopeSchema } from './systemRecord.js';
import { systemStateSchema } from './systemState.js';
import type { SystemState } from './systemState.js';

/** Extracts the state from a checkpoint record; null for any other record. */
const findCheckpoint = ({ body }: LogRecord): SystemState | null => {
  if (!body.includes('"checkpoint"')) return null;
  // Of this project's own processes, and of any size.
  const raw = parseJson(body, Number.POSITIVE_INFINITY);
  const envelope = raw.ok ? restore(envelopeSchema, raw.val) : null;
  const record = envelope?.ok ? restore(checkpointRecordSchema, envelope.val.record) : null;
  const state = record?.ok ? restore(systemStateSchema, record.val.state) : null;
  if (!record?.ok || !state?.ok) return null;
  return state.val.offset === record.val.covers ? state.val : null;
};

export default findCheckpoint;

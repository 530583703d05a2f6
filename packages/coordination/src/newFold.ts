import assertNever from '@cyclamengate/common/assertNever';
import invariant from '@cyclamengate/common/invariant';
import { parseJson } from '@cyclamengate/common/readBody';
import { restore } from '@cyclamengate/common/restore';
import type { LogRecord } from '@cyclamengate/platform/logRecord';
import applySettingsChange from '@cyclamengate/settings/applySettingsChange';
import { ACCEPTED, rejected } from '@cyclamengate/settings/decision';
import type { Decision } from '@cyclamengate/settings/decision';
import { applyCallClaim, applyCallOutcome, forgetCalls } from './applyCall.js';
import { applyLeaseClaim, applyLeaseRelease } from './applyLease.js';
import {
  applySampleBound,
  applySamplesOffered,
  applySlotReleased,
  applyStepOpened,
  applyWeightsPublished,
} from './applySample.js';
import { applyUsageClose, applyUsageDelta, applyUsageReported } from './applyUsage.js';
import type { AuditEntry } from './auditEntry.js';
import auditEntryOf from './auditEntryOf.js';
import { envelopeSchema, RECORD_VERSION, systemRecordSchema } from './systemRecord.js';
import type { Envelope, SystemRecord } from './systemRecord.js';
import { newEmptyState } from './systemState.js';
import type { SystemState } from './systemState.js';

/** Ids by which a record that landed twice is known; older ones are caught by what they name. */
const RECENT_IDS_KEPT = 1_024;
const RECORDS_BETWEEN_CLEANINGS = 1_024;

/** A record that was folded, with what came of it. */
export interface Folded {
  offset: number;
  id: string;
  record: SystemRecord;
  decision: Decision;
  audit: AuditEntry | null;
}

const restoreEnvelope = (body: string): Envelope | null => {
  const raw = parseJson(body);
  if (!raw.ok) return null;
  const envelope = restore(envelopeSchema, raw.val);
  return envelope.ok && envelope.val.version <= RECORD_VERSION ? envelope.val : null;
};

const decide = (state: SystemState, offset: number, record: SystemRecord): Decision => {
  switch (record.type) {
    case 'settings-change':
      return applySettingsChange(state.settings, offset, record);
    case 'lease-claim':
      return applyLeaseClaim(state.leases, offset, record);
    case 'lease-release':
      return applyLeaseRelease(state.leases, offset, record);
    case 'usage-delta':
      return applyUsageDelta(state.usage, state.time, record);
    case 'usage-close':
      return applyUsageClose(state.usage, state.leases, state.time, record);
    case 'usage-reported':
      return applyUsageReported(state.usage, record);
    case 'call-claim':
      return applyCallClaim(state.calls, state.time, record);
    case 'call-outcome':
      return applyCallOutcome(state.calls, record);
    case 'weights-published':
      return applyWeightsPublished(state.trainers, record);
    case 'step-opened':
      return applyStepOpened(state.trainers, record);
    case 'sample-bound':
      return applySampleBound(state.trainers, state.settings, record);
    case 'slot-released':
      return applySlotReleased(state.trainers, record);
    case 'samples-offered':
      return applySamplesOffered(state.trainers, state.settings, record);
    case 'checkpoint':
    case 'audit-note':
      return ACCEPTED;
    default:
      return assertNever(record);
  }
};

/**
 * Folds the log's records, in order, into the state that all readers share. Nothing here looks at a
 * clock, a random number or this host, so two readers of the same records can never differ.
 */
const newFold = (start: SystemState = newEmptyState()) => {
  let state = start;
  let recent = new Set(state.recentIds);

  const remember = (id: string): void => {
    state.recentIds.push(id);
    recent.add(id);
    if (state.recentIds.length <= RECENT_IDS_KEPT) return;
    const oldest = state.recentIds.shift();
    if (oldest) recent.delete(oldest);
  };

  const decideOnce = (offset: number, envelope: Envelope, record: SystemRecord): Decision => {
    if (recent.has(envelope.id)) return rejected('landed twice');
    remember(envelope.id);
    return decide(state, offset, record);
  };

  /** @returns what came of it, or null for a record of a newer or foreign format */
  const apply = (logged: LogRecord): Folded | null => {
    invariant(logged.offset > state.offset, 'records are folded in the order of their offsets');
    state.offset = logged.offset;
    state.time = Math.max(state.time, logged.at);
    if (logged.offset % RECORDS_BETWEEN_CLEANINGS === 0) forgetCalls(state.calls, state.time);
    const envelope = restoreEnvelope(logged.body);
    if (!envelope) return null;
    const record = restore(systemRecordSchema, envelope.record);
    if (!record.ok) return null;
    const decision = decideOnce(logged.offset, envelope, record.val);
    return {
      offset: logged.offset,
      id: envelope.id,
      record: record.val,
      decision,
      audit: auditEntryOf(logged, envelope, record.val, decision),
    };
  };

  /** Takes over a whole state, e.g. a checkpoint's. A reader never goes back to a lower offset. */
  const load = (loaded: SystemState): void => {
    invariant(loaded.offset >= state.offset, 'a reader never goes back');
    state = loaded;
    recent = new Set(state.recentIds);
  };

  return { apply, load, state: (): SystemState => state };
};

export type Fold = ReturnType<typeof newFold>;

export default newFold;

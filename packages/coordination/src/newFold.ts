import assertNever from '@cyclamengate/common/assertNever';
import invariant from '@cyclamengate/common/invariant';
import parseJson from '@cyclamengate/common/parseJson';
import { restore } from '@cyclamengate/common/restore';
import type { LogRecord } from '@cyclamengate/platform/logRecord';
import applySettingsChange from '@cyclamengate/settings/applySettingsChange';
import { ACCEPTED, rejected } from '@cyclamengate/settings/decision';
import type { Decision } from '@cyclamengate/settings/decision';
import { applyCallClaim, applyCallOutcome, evictCalls } from './applyCall.js';
import applyEvacuation from './applyEvacuation.js';
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
import newAuditEntry from './newAuditEntry.js';
import { envelopeSchema, RECORD_VERSION, systemRecordSchema } from './systemRecord.js';
import type { Envelope, SystemRecord } from './systemRecord.js';
import { newEmptyState } from './systemState.js';
import type { SystemState } from './systemState.js';

/**
 * Number of ids by which duplicate records are detected. Older duplicates are rejected because the
 * offset, attempt or sequence number that they name is outdated.
 */
const MAX_RECENT_IDS = 1_024;
const RECORDS_BETWEEN_CALL_EVICTIONS = 1_024;

/** A folded record with its decision. */
export interface Folded {
  offset: number;
  id: string;
  record: SystemRecord;
  decision: Decision;
  audit: AuditEntry | null;
}

const restoreEnvelope = (body: string): Envelope | null => {
  // Of this project's own processes, and of any size.
  const raw = parseJson(body, Number.POSITIVE_INFINITY);
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
    case 'domain-evacuation':
      return applyEvacuation(state.evacuatedDomains, state.settings, record);
    case 'checkpoint':
    case 'audit-note':
      return ACCEPTED;
    default:
      return assertNever(record);
  }
};

/**
 * Folds the log's records, in order, into the state that all readers share. The result does not
 * depend on a clock, random numbers or the host, so all readers of the same records have the same
 * state.
 */
const newFold = (start: SystemState = newEmptyState()) => {
  let state = start;
  let recentIds = new Set(state.recentIds);

  const rememberId = (id: string): void => {
    state.recentIds.push(id);
    recentIds.add(id);
    if (state.recentIds.length <= MAX_RECENT_IDS) return;
    const oldest = state.recentIds.shift();
    if (oldest) recentIds.delete(oldest);
  };

  const decideOnce = (offset: number, envelope: Envelope, record: SystemRecord): Decision => {
    if (recentIds.has(envelope.id)) return rejected('landed twice');
    rememberId(envelope.id);
    return decide(state, offset, record);
  };

  /** @returns the folded record, or null for a record of a newer or an unknown format */
  const apply = (logged: LogRecord): Folded | null => {
    invariant(logged.offset > state.offset, 'records are folded in the order of their offsets');
    state.offset = logged.offset;
    state.time = Math.max(state.time, logged.at);
    if (logged.offset % RECORDS_BETWEEN_CALL_EVICTIONS === 0) evictCalls(state.calls, state.time);
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
      audit: newAuditEntry(logged, envelope, record.val, decision),
    };
  };

  /** Replaces the state, for example by a checkpoint's. The offset must not decrease. */
  const load = (loaded: SystemState): void => {
    invariant(loaded.offset >= state.offset, 'a loaded state has no lower offset');
    state = loaded;
    recentIds = new Set(state.recentIds);
  };

  return { apply, load, state: (): SystemState => state };
};

export type Fold = ReturnType<typeof newFold>;

export default newFold;

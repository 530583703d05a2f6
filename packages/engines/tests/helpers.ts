import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { ModelDemand } from '../src/apportionEngines.js';
import type { AssignableEngine } from '../src/newAssignmentDraft.js';
import type { UpstreamEntry } from '../src/upstreamEntry.js';

export const silentLog: EventLog = { info: () => {}, warn: () => {}, error: () => {} };

export const newEntry = (id: string, changes: Partial<UpstreamEntry> = {}): UpstreamEntry => ({
  id,
  service: 'models',
  host: '10.0.0.1',
  port: 8_080,
  failureDomain: 'detroit',
  slots: 8,
  isDraining: false,
  isSpot: false,
  startedAt: 1,
  coldUntil: -Infinity,
  models: [],
  ...changes,
});

/** Models whose trainers ask for the same. */
export const newEqualDemands = (models: string[]): ModelDemand[] =>
  models.map((model) => ({ model, demand: 1 }));

export const newEngine = (
  id: string,
  changes: Partial<AssignableEngine> = {},
): AssignableEngine => ({ id, failureDomain: 'detroit', slots: 6, pace: 1, ...changes });

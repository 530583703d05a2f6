import { RECORD_VERSION } from '../src/systemRecord.js';
import type { SystemRecord } from '../src/systemRecord.js';

let recordCount = 0;

/** The body of a record as a process writes it, with a new id unless one is given. */
export const newBody = (record: SystemRecord, id?: string, writer = 'test'): string => {
  recordCount += 1;
  return JSON.stringify({
    version: RECORD_VERSION,
    id: id ?? `id-${recordCount}`,
    writer,
    record,
  });
};

/** Root settings with one operator, customer, key, service and trainer. */
export const rootSubtree = {
  operators: [{ id: 'admin', paths: ['/'] }],
  customers: [{ id: 'players' }],
  keys: [{ id: 'players-key', customer: 'players', digest: 'a'.repeat(64) }],
  services: [{ id: 'tone', type: 'model' }],
  trainers: [{ id: 'trainer', customer: 'players', service: 'tone', stalenessBoundVersions: 1 }],
};

/** A settings change of one subtree. */
export const newChange = (
  path: string,
  basedOn: number,
  subtree: unknown,
  operator = 'admin',
): SystemRecord => ({
  type: 'settings-change',
  operator,
  subtrees: [{ path, basedOn, subtree }],
});

import { RECORD_VERSION } from '../src/systemRecord.js';
import type { SystemRecord } from '../src/systemRecord.js';

let written = 0;

/** A record as a process writes it, under a fresh id unless one is given. */
export const bodyOf = (record: SystemRecord, id?: string, writer = 'test'): string => {
  written += 1;
  return JSON.stringify({
    version: RECORD_VERSION,
    id: id ?? `id-${written}`,
    writer,
    record,
  });
};

/** Root settings with one operator, one customer and one trainer, as subtrees of a change. */
export const rootSubtree = {
  operators: [{ id: 'admin', paths: ['/'] }],
  customers: [{ id: 'players' }],
  keys: [{ id: 'players-key', customer: 'players', digest: 'a'.repeat(64) }],
  services: [{ id: 'tone', type: 'model' }],
  trainers: [{ id: 'trainer', customer: 'players', service: 'tone', stalenessBoundVersions: 1 }],
};

/** A change of one subtree. */
export const changeOf = (
  path: string,
  basedOn: number,
  subtree: unknown,
  operator = 'admin',
): SystemRecord => ({
  type: 'settings-change',
  operator,
  subtrees: [{ path, basedOn, subtree }],
});

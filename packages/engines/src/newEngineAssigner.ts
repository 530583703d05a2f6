import assignEngines from './assignEngines.js';
import type { EngineAssignments } from './newAssignmentDraft.js';
import type { UpstreamEntry } from './upstreamEntry.js';
import classifyPace, { NOMINAL_PACES } from './classifyPace.js';

/** Services whose assignments are kept. */
const MAX_CACHED = 8;

export interface EngineAssignerOptions {
  /** Work that a model's trainer asks for, relative to others; the same on every host. */
  demandOf: (model: string, models: string[]) => number;
  /** Time that work takes at an engine relative to its peers; the same on every host. */
  paceOf: (upstream: string) => number;
}

/** Assigns engines to models by demand and pace; computes anew only when its input has changed. */
const newEngineAssigner = ({ demandOf, paceOf }: EngineAssignerOptions) => {
  const cached = new Map<string, EngineAssignments>();

  return (models: string[], entries: UpstreamEntry[]): EngineAssignments => {
    const demands = models.map((model) => ({ model, demand: demandOf(model, models) }));
    const engines = entries.map(({ id, failureDomain, slots }) => ({
      id,
      failureDomain,
      slots,
      pace: NOMINAL_PACES[classifyPace(paceOf(id))],
    }));
    const key = JSON.stringify([demands, engines.map((engine) => Object.values(engine))]);
    const known = cached.get(key);
    if (known) return known;
    const assignments = assignEngines(demands, engines);
    const [oldest] = cached.keys();
    if (cached.size >= MAX_CACHED && oldest !== undefined) cached.delete(oldest);
    cached.set(key, assignments);
    return assignments;
  };
};

export type EngineAssigner = ReturnType<typeof newEngineAssigner>;

export default newEngineAssigner;

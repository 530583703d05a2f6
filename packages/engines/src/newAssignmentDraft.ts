import digest from '@cyclamengate/common/digest';
import groupBy from '@cyclamengate/common/groupBy';
import apportionEngines, { MIN_ENGINES_PER_MODEL } from './apportionEngines.js';
import type { EngineClass, EngineQuota, ModelDemand } from './apportionEngines.js';
import classifyPace from './classifyPace.js';
import type { PaceClass } from './classifyPace.js';

/** By model, the engines that load its newest version. */
export type EngineAssignments = Map<string, Set<string>>;

/** An engine with what decides on the models that it keeps up to date. */
export interface AssignableEngine {
  id: string;
  failureDomain: string;
  slots: number;
  /** Time that work takes there relative to its peers, as all hosts have agreed. */
  pace: number;
}

/** An engine that may be assigned to a model. */
export interface EnginePair {
  model: string;
  engine: AssignableEngine;
}

const describeClass = (engines: AssignableEngine[]): EngineClass => ({
  count: engines.length,
  slots: engines.reduce((sum, { slots }) => sum + slots, 0) / Math.max(1, engines.length),
});

const areFew = (models: ModelDemand[], engines: AssignableEngine[]): boolean =>
  engines.length < models.length * MIN_ENGINES_PER_MODEL;

const divide = (models: ModelDemand[], engines: AssignableEngine[]): Map<string, EngineQuota> => {
  const byClass = groupBy(engines, ({ pace }) => classifyPace(pace));
  const classOf = (name: PaceClass): EngineClass => describeClass(byClass.get(name) ?? []);
  const classes = { fast: classOf('fast'), usual: classOf('usual'), slow: classOf('slow') };
  // Equal remainders go to the models that come first; by digest no trainer is first by its name.
  const ordered = [...models].sort((left, right) =>
    digest(left.model) < digest(right.model) ? -1 : 1,
  );
  return apportionEngines(ordered, classes);
};

/** Number of engines of each class that each model gets. */
const findQuotas = (
  models: ModelDemand[],
  engines: AssignableEngine[],
): Map<string, EngineQuota> => {
  if (!areFew(models, engines)) return divide(models, engines);
  // Each model has the least number of engines, whatever their class.
  const any = MIN_ENGINES_PER_MODEL;
  return new Map(models.map(({ model }) => [model, { fast: any, usual: any, slow: any }]));
};

/** An assignment under way, with what every further one must respect. */
const newAssignmentDraft = (models: ModelDemand[], engines: AssignableEngine[]) => {
  const quotas = findQuotas(models, engines);
  const totals = new Map(
    [...quotas].map(([model, { fast, usual, slow }]) => [
      model,
      areFew(models, engines) ? MIN_ENGINES_PER_MODEL : fast + usual + slow,
    ]),
  );
  const maxModelsPerEngine = Math.ceil((models.length * MIN_ENGINES_PER_MODEL) / engines.length);
  const domains = groupBy(engines, ({ failureDomain }) => failureDomain);
  const assigned = new Map(models.map(({ model }) => [model, new Map<string, AssignableEngine>()]));
  const modelCounts = new Map<string, number>();

  const enginesOf = (model: string): AssignableEngine[] => [
    ...(assigned.get(model)?.values() ?? []),
  ];
  const has = ({ model, engine }: EnginePair): boolean =>
    assigned.get(model)?.has(engine.id) ?? false;

  const hasRoom = ({ model, engine }: EnginePair): boolean =>
    (assigned.get(model)?.size ?? 0) < (totals.get(model) ?? 0) &&
    (quotas.get(model)?.[classifyPace(engine.pace)] ?? 0) > 0 &&
    (modelCounts.get(engine.id) ?? 0) < maxModelsPerEngine;

  /** Whether a model has its part of an engine's failure domain. */
  const isDomainFull = ({ model, engine }: EnginePair): boolean => {
    const { failureDomain } = engine;
    const domainSize = domains.get(failureDomain)?.length ?? 0;
    const part = Math.ceil(((totals.get(model) ?? 0) * domainSize) / engines.length);
    return enginesOf(model).filter((other) => other.failureDomain === failureDomain).length >= part;
  };

  const change = ({ model, engine }: EnginePair, by: 1 | -1): void => {
    const quota = quotas.get(model);
    if (quota) quota[classifyPace(engine.pace)] -= by;
    modelCounts.set(engine.id, (modelCounts.get(engine.id) ?? 0) + by);
    if (by === 1) assigned.get(model)?.set(engine.id, engine);
    else assigned.get(model)?.delete(engine.id);
  };

  return {
    has,
    hasRoom,
    isDomainFull,
    add: (pair: EnginePair): void => change(pair, 1),
    remove: (pair: EnginePair): void => change(pair, -1),
    read: (): EngineAssignments =>
      new Map([...assigned].map(([model, members]) => [model, new Set(members.keys())])),
  };
};

export type AssignmentDraft = ReturnType<typeof newAssignmentDraft>;

export default newAssignmentDraft;

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

interface Pair {
  model: string;
  engine: AssignableEngine;
  hash: string;
}

/** Rank of an engine for a model (rendezvous hashing), identical on every host. */
const hashPair = (model: string, engine: string): string => digest(`${model}\n${engine}`);

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
const newDraft = (models: ModelDemand[], engines: AssignableEngine[]) => {
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
  const has = ({ model, engine }: Pair): boolean => assigned.get(model)?.has(engine.id) ?? false;

  const hasRoom = ({ model, engine }: Pair): boolean =>
    (assigned.get(model)?.size ?? 0) < (totals.get(model) ?? 0) &&
    (quotas.get(model)?.[classifyPace(engine.pace)] ?? 0) > 0 &&
    (modelCounts.get(engine.id) ?? 0) < maxModelsPerEngine;

  /** Whether a model has its part of an engine's failure domain. */
  const isDomainFull = ({ model, engine }: Pair): boolean => {
    const { failureDomain } = engine;
    const domainSize = domains.get(failureDomain)?.length ?? 0;
    const part = Math.ceil(((totals.get(model) ?? 0) * domainSize) / engines.length);
    return enginesOf(model).filter((other) => other.failureDomain === failureDomain).length >= part;
  };

  const change = ({ model, engine }: Pair, by: 1 | -1): void => {
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
    add: (pair: Pair): void => change(pair, 1),
    remove: (pair: Pair): void => change(pair, -1),
    read: (): EngineAssignments =>
      new Map([...assigned].map(([model, members]) => [model, new Set(members.keys())])),
  };
};

type Draft = ReturnType<typeof newDraft>;

/**
 * Gives an engine whose failure domain is full for the model to another model, in exchange for an
 * engine of the same class elsewhere.
 * @returns whether there was one
 */
const exchange = (draft: Draft, { model, engine }: Pair, pairs: Pair[]): boolean => {
  const given = pairs.find(
    (other) =>
      other.model !== model &&
      other.engine.failureDomain !== engine.failureDomain &&
      classifyPace(other.engine.pace) === classifyPace(engine.pace) &&
      draft.has(other) &&
      !draft.has({ ...other, engine }) &&
      !draft.has({ ...other, model }) &&
      !draft.isDomainFull({ ...other, engine }) &&
      !draft.isDomainFull({ ...other, model }),
  );
  if (!given) return false;
  draft.remove(given);
  draft.add({ ...given, engine });
  draft.add({ ...given, model });
  return true;
};

/**
 * Assigns engines to models.
 *
 * Loading weights is expensive, and an engine accepts no new requests for a model for a second
 * while it loads it. A model is therefore kept up to date on its share of the engines only, but on
 * at least two, so that one can serve while the other loads or has failed. The share follows the
 * model's demand, and each model's engines are spread over paces and failure domains: the longest
 * items of every model need fast engines, and the loss of a failure domain must leave every model
 * engines. Every host computes the same assignment from the same lists, and the loss of an engine
 * reassigns little more than that engine's models.
 */
const assignEngines = (models: ModelDemand[], engines: AssignableEngine[]): EngineAssignments => {
  // Plain services have no models.
  if (models.length === 0 || engines.length === 0) {
    return new Map(models.map(({ model }) => [model, new Set<string>()]));
  }
  const draft = newDraft(models, engines);
  const pairs = models
    .flatMap(({ model }) =>
      engines.map((engine): Pair => ({ model, engine, hash: hashPair(model, engine.id) })),
    )
    .sort((left, right) => (left.hash < right.hash ? -1 : 1));
  const isOpen = (pair: Pair): boolean => !draft.has(pair) && draft.hasRoom(pair);
  pairs.forEach((pair) => {
    if (isOpen(pair) && !draft.isDomainFull(pair)) draft.add(pair);
  });
  pairs.forEach((pair) => {
    if (isOpen(pair) && !exchange(draft, pair, pairs)) draft.add(pair);
  });
  return draft.read();
};

export default assignEngines;

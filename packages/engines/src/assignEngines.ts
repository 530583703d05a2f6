import digest from '@cyclamengate/common/digest';

/** By model, the engines that load its newest version. */
export type EngineAssignments = Map<string, Set<string>>;

/** With two engines, one can serve while the other loads or has failed. */
const MIN_ENGINES_PER_MODEL = 2;

/** Rank of an engine for a model (rendezvous hashing), identical on every host. */
const hashPair = (model: string, engine: string): string => digest(`${model}\n${engine}`);

/**
 * Assigns engines to models.
 *
 * Loading weights is expensive, and an engine accepts no new requests for a model for a second
 * while it loads it. A model is therefore kept up to date on its share of the engines only, but on
 * at least two, so that one can serve while the other loads or has failed. Every host computes the
 * same assignment from the same list, and the loss of an engine reassigns only that engine's
 * models.
 */
const assignEngines = (models: string[], engines: string[]): EngineAssignments => {
  const assignments: EngineAssignments = new Map(models.map((model) => [model, new Set<string>()]));
  if (models.length === 0 || engines.length === 0) return assignments;
  const enginesPerModel = Math.max(
    MIN_ENGINES_PER_MODEL,
    Math.floor(engines.length / models.length),
  );
  const maxModelsPerEngine = Math.ceil((models.length * enginesPerModel) / engines.length);
  const modelCounts = new Map(engines.map((engine) => [engine, 0]));
  const pairs = models
    .flatMap((model) => engines.map((engine) => ({ model, engine, hash: hashPair(model, engine) })))
    .sort((left, right) => (left.hash < right.hash ? -1 : 1));
  pairs.forEach(({ model, engine }) => {
    const assigned = assignments.get(model);
    const count = modelCounts.get(engine) ?? 0;
    if (!assigned || assigned.size >= enginesPerModel || count >= maxModelsPerEngine) return;
    assigned.add(engine);
    modelCounts.set(engine, count + 1);
  });
  return assignments;
};

export default assignEngines;

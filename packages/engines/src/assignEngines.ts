import digest from '@cyclamengate/common/digest';
import type { ModelDemand } from './apportionEngines.js';
import classifyPace from './classifyPace.js';
import newAssignmentDraft from './newAssignmentDraft.js';
import type {
  AssignableEngine,
  AssignmentDraft,
  EngineAssignments,
  EnginePair,
} from './newAssignmentDraft.js';

interface RankedPair extends EnginePair {
  /** The pair with the lowest one is assigned first. */
  hash: string;
}

/** Rank of an engine for a model (rendezvous hashing), identical on every host. */
const hashPair = (model: string, engine: string): string => digest(`${model}\n${engine}`);

/**
 * Gives an engine whose failure domain is full for the model to another model, in exchange for an
 * engine of the same class elsewhere.
 * @returns whether there was one
 */
const exchange = (
  draft: AssignmentDraft,
  { model, engine }: EnginePair,
  pairs: EnginePair[],
): boolean => {
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
  const draft = newAssignmentDraft(models, engines);
  const pairs = models
    .flatMap(({ model }) =>
      engines.map((engine): RankedPair => ({ model, engine, hash: hashPair(model, engine.id) })),
    )
    .sort((left, right) => (left.hash < right.hash ? -1 : 1));
  const isOpen = (pair: EnginePair): boolean => !draft.has(pair) && draft.hasRoom(pair);
  pairs.forEach((pair) => {
    if (isOpen(pair) && !draft.isDomainFull(pair)) draft.add(pair);
  });
  pairs.forEach((pair) => {
    if (isOpen(pair) && !exchange(draft, pair, pairs)) draft.add(pair);
  });
  return draft.read();
};

export default assignEngines;

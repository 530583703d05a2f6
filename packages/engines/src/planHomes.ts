import digest from '@cyclamengate/common/digest';

/** Which engines keep up with the newest version of which model. */
export type Homes = Map<string, Set<string>>;

/** One may load, or die, while the other serves. */
const LEAST_HOMES = 2;

/** Weight of an engine for a model: the same on every host, different for each pair. */
const weightOf = (model: string, engine: string): string => digest(`${model}\n${engine}`);

/**
 * Deals engines to models.
 *
 * Each load of weights costs, and an engine that loads serves nothing new of that model for a
 * second. So a model is kept fresh on its part of the engines only: about as many as there are
 * engines for one model, two at least, so that one may load, or die, while the other serves. Every
 * host works out the same homes from the same list, and a lost engine moves only its own models.
 */
const planHomes = (models: string[], engines: string[]): Homes => {
  const homes: Homes = new Map(models.map((model) => [model, new Set<string>()]));
  if (models.length === 0 || engines.length === 0) return homes;
  const share = Math.max(LEAST_HOMES, Math.floor(engines.length / models.length));
  const most = Math.ceil((models.length * share) / engines.length);
  const dealt = new Map(engines.map((engine) => [engine, 0]));
  const pairs = models
    .flatMap((model) => engines.map((engine) => ({ model, engine, at: weightOf(model, engine) })))
    .sort((left, right) => (left.at < right.at ? -1 : 1));
  pairs.forEach(({ model, engine }) => {
    const home = homes.get(model);
    const count = dealt.get(engine) ?? 0;
    if (!home || home.size >= share || count >= most) return;
    home.add(engine);
    dealt.set(engine, count + 1);
  });
  return homes;
};

export default planHomes;

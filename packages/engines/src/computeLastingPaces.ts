import groupBy from '@cyclamengate/common/groupBy';
import median from '@cyclamengate/common/median';

/** A measured time of one unit of work. */
export interface PaceSample {
  /** Units of one kind take the same time on upstreams of equal pace. */
  kind: string;
  /** Without the momentary slowdown that the upstream reported. */
  durationMs: number;
}

/** With fewer, a single late event would make the upstream look slow. */
export const MIN_SAMPLES = 5;
/** An upstream that is slower by no more counts as equal: slots in use alone make a fifth. */
const MAX_EQUAL_SLOWNESS = 1.2;
/** A fast upstream draws work from its peers, so it has to be clearly faster. */
const MIN_FAST_FACTOR = 1.4;

const positiveMedian = (values: number[]): number => median(values) || 1;

/**
 * The median time of each kind at one upstream. Samples never change once they are here, and most
 * upstreams get no new ones between two computations.
 */
const mediansBySamples = new WeakMap<readonly PaceSample[], Map<string, number>>();

const findKindMedians = (samples: readonly PaceSample[]): Map<string, number> => {
  const known = mediansBySamples.get(samples);
  if (known) return known;
  const medians = new Map(
    [...groupBy(samples, ({ kind }) => kind)].map(([kind, ofKind]) => [
      kind,
      positiveMedian(ofKind.map(({ durationMs }) => durationMs)),
    ]),
  );
  mediansBySamples.set(samples, medians);
  return medians;
};

/** The usual time of each kind; a kind that only one upstream did says nothing on its pace. */
const findUsualTimes = (
  samplesById: ReadonlyMap<string, readonly PaceSample[]>,
): Map<string, number> => {
  const mediansByKind = new Map<string, number[]>();
  samplesById.forEach((samples) =>
    findKindMedians(samples).forEach((durationMs, kind) => {
      const medians = mediansByKind.get(kind);
      if (medians) medians.push(durationMs);
      else mediansByKind.set(kind, [durationMs]);
    }),
  );
  return new Map(
    [...mediansByKind]
      .filter(([, medians]) => medians.length > 1)
      .map(([kind, medians]) => [kind, positiveMedian(medians)]),
  );
};

const computeRatio = (
  samples: readonly PaceSample[],
  usualTimes: ReadonlyMap<string, number>,
): number | null => {
  if (samples.length < MIN_SAMPLES) return null;
  const kindMedians = findKindMedians(samples);
  if (kindMedians.size === 1) {
    // With one kind, the median of the ratios below is the ratio of medians that are known.
    const [[kind, durationMs] = ['', 0]] = kindMedians;
    const usualMs = usualTimes.get(kind);
    return usualMs === undefined ? null : durationMs / usualMs;
  }
  const ratios = samples.flatMap(({ kind, durationMs }) => {
    const usualMs = usualTimes.get(kind);
    return usualMs === undefined ? [] : [durationMs / usualMs];
  });
  return ratios.length < MIN_SAMPLES ? null : positiveMedian(ratios);
};

/** A pace that differs too little from the peers' to decide anything is 1. */
const ignoreSmall = (pace: number): number =>
  pace > 1 / MIN_FAST_FACTOR && pace <= MAX_EQUAL_SLOWNESS ? 1 : pace;

/**
 * Paces of a service's upstreams relative to each other, as far as there are samples enough.
 *
 * Each time is divided by the usual one of its kind, so an upstream that happened to get the long
 * calls is not taken for slow. What is known of the measured upstreams from elsewhere anchors the
 * result: a host that uses a fast and a common one can't tell by itself which of them is unusual.
 */
const computeLastingPaces = (
  samplesById: ReadonlyMap<string, readonly PaceSample[]>,
  readSharedPace: (id: string) => number,
): Map<string, number> => {
  const usualTimes = findUsualTimes(samplesById);
  const ratios = [...samplesById].flatMap(([id, samples]): [string, number][] => {
    const ratio = computeRatio(samples, usualTimes);
    return ratio === null ? [] : [[id, ratio]];
  });
  const ofPeers = positiveMedian(ratios.map(([id, ratio]) => ratio / readSharedPace(id)));
  return new Map(ratios.map(([id, ratio]) => [id, ignoreSmall(ratio / ofPeers)]));
};

export default computeLastingPaces;

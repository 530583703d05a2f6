import rendezvousRank from '@cyclamengate/common/rendezvousRank';
import { estimateLoad } from '@cyclamengate/upstreams/upstream';
import type { Upstream } from '@cyclamengate/upstreams/upstream';
import UpstreamChoice from './UpstreamChoice.js';
import type { ChoiceRequest } from './UpstreamChoice.js';

/** An upstream with its prefix cached is taken until its load is so much above the average. */
const AFFINITY_LOAD_BOUND = 1.25;
/** Load, as a part of the slots, below which an upstream counts as free. */
const FREE_LOAD = 0.5;

/**
 * Own failure domain first, then the upstream that is likely to have the prompt's prefix cached as
 * long as its load allows, else the better of two picked at random. Two instead of all: the reports
 * lag, and if every host ran to the one that looked idle a second ago it would be flooded.
 */
const newAffinityChoice = (failureDomain: string, random: () => number): UpstreamChoice => {
  const nearest = (candidates: readonly Upstream[]): readonly Upstream[] => {
    const near = candidates.filter(({ status }) => status.failureDomain === failureDomain);
    const hasRoom = near.some((upstream) => estimateLoad(upstream) < 1);
    return hasRoom ? near : candidates;
  };

  /** Cheap upstreams may be reclaimed at any time, so they are for work that can go on elsewhere. */
  const fitting = (
    candidates: readonly Upstream[],
    { canResume }: ChoiceRequest,
  ): readonly Upstream[] => {
    const wanted = canResume ? 'cheap' : 'standard';
    const fit = candidates.filter(({ status }) => status.kind === wanted);
    const hasRoom = fit.some((upstream) => estimateLoad(upstream) < 1);
    return hasRoom ? fit : candidates;
  };

  const pickLighter = (candidates: readonly Upstream[]): Upstream | null => {
    const first = candidates[Math.floor(random() * candidates.length)] ?? null;
    const second = candidates[Math.floor(random() * candidates.length)] ?? null;
    if (!first || !second) return first;
    return estimateLoad(first) <= estimateLoad(second) ? first : second;
  };

  const findAffine = (
    candidates: readonly Upstream[],
    { prefixKey }: ChoiceRequest,
  ): Upstream | undefined => {
    const byId = new Map(candidates.map((upstream) => [upstream.status.id, upstream]));
    const [preferred] = rendezvousRank(prefixKey, [...byId.keys()]);
    return byId.get(preferred ?? '');
  };

  const isLight = (upstream: Upstream, candidates: readonly Upstream[]): boolean => {
    const total = candidates.reduce((sum, candidate) => sum + estimateLoad(candidate), 0);
    const bound = Math.max(FREE_LOAD, (total / candidates.length) * AFFINITY_LOAD_BOUND);
    return estimateLoad(upstream) < bound;
  };

  class AffinityChoice extends UpstreamChoice {
    choose(candidates: readonly Upstream[], request: ChoiceRequest): Upstream | null {
      const eligible = fitting(nearest(candidates), request);
      const affine = findAffine(eligible, request);
      return affine && isLight(affine, eligible) ? affine : pickLighter(eligible);
    }
  }
  return new AffinityChoice();
};

export default newAffinityChoice;

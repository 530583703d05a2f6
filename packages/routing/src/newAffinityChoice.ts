import rendezvousRank from '@cyclamengate/common/rendezvousRank';
import { estimateLoad } from '@cyclamengate/upstreams/upstream';
import type { Upstream } from '@cyclamengate/upstreams/upstream';
import UpstreamChoice from './UpstreamChoice.js';
import type { ChoiceRequest } from './UpstreamChoice.js';

/** The preferred upstream is chosen while its load is below this multiple of the average. */
const AFFINITY_LOAD_FACTOR = 1.25;
/** Load, as a fraction of the slots, below which the preferred upstream is always chosen. */
const MIN_AFFINITY_LOAD_BOUND = 0.5;

/**
 * Prefers the host's own failure domain, then the upstream that is likely to have the prompt's
 * prefix cached if its load allows, otherwise the less loaded of two random ones. Load reports lag:
 * if every host chose the least loaded of all upstreams, that one would be overloaded.
 */
const newAffinityChoice = (failureDomain: string, random: () => number): UpstreamChoice => {
  const preferOwnDomain = (candidates: readonly Upstream[]): readonly Upstream[] => {
    const inDomain = candidates.filter(({ status }) => status.failureDomain === failureDomain);
    const hasFreeSlot = inDomain.some((upstream) => estimateLoad(upstream) < 1);
    return hasFreeSlot ? inDomain : candidates;
  };

  /** Cheap upstreams may be reclaimed at any time, so they get work that can resume elsewhere. */
  const preferKind = (
    candidates: readonly Upstream[],
    { canResume }: ChoiceRequest,
  ): readonly Upstream[] => {
    const wanted = canResume ? 'cheap' : 'standard';
    const ofKind = candidates.filter(({ status }) => status.kind === wanted);
    const hasFreeSlot = ofKind.some((upstream) => estimateLoad(upstream) < 1);
    return hasFreeSlot ? ofKind : candidates;
  };

  const pickLessLoaded = (candidates: readonly Upstream[]): Upstream | null => {
    const first = candidates[Math.floor(random() * candidates.length)] ?? null;
    const second = candidates[Math.floor(random() * candidates.length)] ?? null;
    if (!first || !second) return first;
    return estimateLoad(first) <= estimateLoad(second) ? first : second;
  };

  const findPreferred = (
    candidates: readonly Upstream[],
    { prefixKey }: ChoiceRequest,
  ): Upstream | undefined => {
    const byId = new Map(candidates.map((upstream) => [upstream.status.id, upstream]));
    const [preferred] = rendezvousRank(prefixKey, [...byId.keys()]);
    return byId.get(preferred ?? '');
  };

  const isBelowLoadBound = (upstream: Upstream, candidates: readonly Upstream[]): boolean => {
    const total = candidates.reduce((sum, candidate) => sum + estimateLoad(candidate), 0);
    const bound = Math.max(
      MIN_AFFINITY_LOAD_BOUND,
      (total / candidates.length) * AFFINITY_LOAD_FACTOR,
    );
    return estimateLoad(upstream) < bound;
  };

  class AffinityChoice extends UpstreamChoice {
    choose(candidates: readonly Upstream[], request: ChoiceRequest): Upstream | null {
      const eligible = preferKind(preferOwnDomain(candidates), request);
      const preferred = findPreferred(eligible, request);
      return preferred && isBelowLoadBound(preferred, eligible)
        ? preferred
        : pickLessLoaded(eligible);
    }
  }
  return new AffinityChoice();
};

export default newAffinityChoice;

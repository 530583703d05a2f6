import type { Upstream } from '@cyclamengate/upstreams/upstream';
import UpstreamChoice from './UpstreamChoice.js';

/** Chooses the upstream with the fewest requests of this host; a baseline for other policies. */
const newLeastInFlightChoice = (): UpstreamChoice => {
  class LeastInFlightChoice extends UpstreamChoice {
    choose(candidates: readonly Upstream[]): Upstream | null {
      const [leastLoaded] = [...candidates].sort((left, right) => left.inFlight - right.inFlight);
      return leastLoaded ?? null;
    }
  }
  return new LeastInFlightChoice();
};

export default newLeastInFlightChoice;

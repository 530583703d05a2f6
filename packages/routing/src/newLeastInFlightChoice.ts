import type { Upstream } from '@cyclamengate/upstreams/upstream';
import UpstreamChoice from './UpstreamChoice.js';

/** Picks the one with the fewest of this host's own requests; the second baseline. */
const newLeastInFlightChoice = (): UpstreamChoice => {
  class LeastInFlightChoice extends UpstreamChoice {
    choose(candidates: readonly Upstream[]): Upstream | null {
      const [least] = [...candidates].sort((left, right) => left.inFlight - right.inFlight);
      return least ?? null;
    }
  }
  return new LeastInFlightChoice();
};

export default newLeastInFlightChoice;

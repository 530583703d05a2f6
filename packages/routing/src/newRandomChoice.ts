import type { Upstream } from '@cyclamengate/upstreams/upstream';
import UpstreamChoice from './UpstreamChoice.js';

/** Chooses an upstream at random; a baseline for other policies. */
const newRandomChoice = (random: () => number): UpstreamChoice => {
  class RandomChoice extends UpstreamChoice {
    choose(candidates: readonly Upstream[]): Upstream | null {
      return candidates[Math.floor(random() * candidates.length)] ?? null;
    }
  }
  return new RandomChoice();
};

export default newRandomChoice;

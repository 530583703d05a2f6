import assertNever from '@cyclamengate/common/assertNever';
import type { ChoicePolicyName } from '@cyclamengate/settings/hostSettings';
import newAffinityChoice from './newAffinityChoice.js';
import newLeastInFlightChoice from './newLeastInFlightChoice.js';
import newRandomChoice from './newRandomChoice.js';
import type UpstreamChoice from './UpstreamChoice.js';

/** Creates the policy that the settings name. */
const newChoice = (
  name: ChoicePolicyName,
  failureDomain: string,
  random: () => number,
): UpstreamChoice => {
  switch (name) {
    case 'affinity':
      return newAffinityChoice(failureDomain, random);
    case 'least-in-flight':
      return newLeastInFlightChoice();
    case 'random':
      return newRandomChoice(random);
    default:
      return assertNever(name);
  }
};

export default newChoice;

import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { UpstreamDirectory } from '@cyclamengate/upstreams/newUpstreamDirectory';
import type PlainService from '@cyclamengate/upstreams/PlainService';
import type { ServiceAnswer, ServiceCall } from '@cyclamengate/upstreams/serviceCall';
import { isNotRun } from '@cyclamengate/upstreams/upstreamFault';
import type { UpstreamFault } from '@cyclamengate/upstreams/upstreamFault';
import type { RetryBudget } from './newRetryBudget.js';
import { notRun } from './refusal.js';
import type { Refusal } from './refusal.js';
import type UpstreamChoice from './UpstreamChoice.js';

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 2_000;

export interface ServiceRelayOptions {
  now: () => number;
  plain: PlainService;
  directory: UpstreamDirectory;
  choice: UpstreamChoice;
  budget: RetryBudget;
}

const buildRefusal = (fault: UpstreamFault | null, mayHaveRun: boolean, now: number): Refusal => {
  const retryAt = now + RETRY_AFTER_MS;
  if (mayHaveRun) {
    return {
      code: 'upstream-failed',
      outcome: 'unknown',
      message: 'the upstream may have run it; its answer is lost',
      retryAt: null,
    };
  }
  return fault === null
    ? notRun('no-upstream', 'no upstream can take it now', retryAt)
    : notRun('retries-used-up', 'no upstream took it', retryAt);
};

/**
 * Relays calls to plain services. A call that may not be repeated is only sent again if it is
 * certain that no byte of it has reached an upstream.
 */
const newServiceRelay = (options: ServiceRelayOptions) => {
  const { now, plain, directory, choice, budget } = options;

  return async (
    service: string,
    call: ServiceCall,
    mayRepeat: boolean,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, Refusal>> => {
    let mayHaveRun = false;
    let lastFault: UpstreamFault | null = null;
    budget.earn();
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
      if (attempts > 0 && !budget.spend()) break;
      const upstream = choice.choose(directory.usable(service), {
        prefixKey: call.path,
        canResume: false,
      });
      if (!upstream) break;
      directory.recordStart(upstream);
      const answer = await plain.call(upstream.status.url, call, !mayRepeat, signal);
      directory.recordEnd(upstream);
      if (answer.ok) {
        directory.recordSuccess(upstream);
        return Ok(answer.val);
      }
      lastFault = answer.val;
      mayHaveRun ||= !isNotRun(lastFault);
      if (lastFault !== 'cancelled') directory.recordFailure(upstream);
      if (lastFault === 'cancelled' || (mayHaveRun && !mayRepeat)) break;
    }
    return Err(buildRefusal(lastFault, mayHaveRun, now()));
  };
};

export type ServiceRelay = ReturnType<typeof newServiceRelay>;

export default newServiceRelay;

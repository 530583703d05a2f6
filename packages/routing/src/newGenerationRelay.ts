import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { Suspects } from '@cyclamengate/coordination/newSuspects';
import type { EndEvent, Generation, TokenEvent } from '@cyclamengate/upstreams/generation';
import type ModelEngine from '@cyclamengate/upstreams/ModelEngine';
import type { UpstreamDirectory } from '@cyclamengate/upstreams/newUpstreamDirectory';
import type { Upstream } from '@cyclamengate/upstreams/upstream';
import { isNotRun } from '@cyclamengate/upstreams/upstreamFault';
import type { UpstreamFault } from '@cyclamengate/upstreams/upstreamFault';
import findFailureCause from './findFailureCause.js';
import type { FailureCause } from './findFailureCause.js';
import type { RetryBudget } from './newRetryBudget.js';
import { notRun } from './refusal.js';
import type { Refusal } from './refusal.js';
import type UpstreamChoice from './UpstreamChoice.js';

const MAX_ATTEMPTS = 4;
const RETRY_AFTER_MS = 2_000;

export interface RelayOptions {
  now: () => number;
  engine: ModelEngine;
  directory: UpstreamDirectory;
  choice: UpstreamChoice;
  suspects: Suspects;
  budget: RetryBudget;
}

interface Progress {
  generation: Generation;
  tokens: string[];
  /** Whether an upstream may have started to run the request. */
  mayHaveRun: boolean;
  tried: Set<string>;
}

const withOutcome = (progress: Progress, refusal: Refusal): Refusal => {
  if (progress.tokens.length > 0) return { ...refusal, outcome: 'partial' };
  return progress.mayHaveRun ? { ...refusal, outcome: 'unknown' } : refusal;
};

/**
 * Relays a generation from upstreams to its caller. If an upstream fails midway, another one
 * resumes after the tokens that were already relayed, so the caller receives one answer without
 * gaps or repetitions.
 */
const newGenerationRelay = (options: RelayOptions) => {
  const { now, engine, directory, choice, suspects, budget } = options;

  const chooseUpstream = ({ generation, tried }: Progress): Upstream | null => {
    const usable = directory.usable(generation.service);
    const untried = usable.filter(({ status }) => !tried.has(status.id));
    return choice.choose(untried.length > 0 ? untried : usable, {
      prefixKey: `${generation.customer} ${generation.prompt.slice(0, 256)}`,
      canResume: generation.priority !== 'interactive',
    });
  };

  const attempt = async (
    upstream: Upstream,
    progress: Progress,
    onToken: (token: TokenEvent) => Promise<void>,
    signal: AbortSignal,
  ): Promise<Result<EndEvent, UpstreamFault>> => {
    directory.recordStart(upstream);
    const generation = { ...progress.generation, prefix: [...progress.tokens] };
    const relay = async (token: TokenEvent): Promise<void> => {
      progress.tokens.push(token.text);
      await onToken(token);
    };
    const answer = await engine.generate(upstream.status.url, generation, relay, signal);
    directory.recordEnd(upstream);
    return answer;
  };

  /** @returns why the upstream failed; `unclear` if it did not run the request */
  const recordFault = async (
    upstream: Upstream,
    fault: UpstreamFault,
    requestDigest: string,
  ): Promise<FailureCause> => {
    directory.recordFailure(upstream);
    if (isNotRun(fault)) return 'unclear';
    const cause = await findFailureCause(engine, directory, upstream);
    if (cause === 'crashed') suspects.add(requestDigest, upstream.status.id);
    return cause;
  };

  /**
   * Whether another attempt may be made. Each request on an upstream that crashed or was reclaimed
   * moves to another one once, which does not multiply load. Only retries after failures of
   * upstreams that are still running are charged to the budget.
   */
  const mayRetry = (attempts: number, cause: FailureCause | null): boolean => {
    if (attempts >= MAX_ATTEMPTS) return false;
    return cause !== 'unclear' || budget.spend();
  };

  const findRefusal = (
    attempts: number,
    cause: FailureCause | null,
    digest: string,
  ): Refusal | null => {
    if (suspects.isDeadly(digest)) {
      return notRun('deadly-request', 'upstreams died while running this very request');
    }
    if (mayRetry(attempts, cause)) return null;
    const message = 'upstreams failed and no retry is left';
    return notRun('retries-used-up', message, now() + RETRY_AFTER_MS);
  };

  /**
   * @param requestDigest digest of the request's content, to detect requests that crash upstreams
   */
  return async (
    generation: Generation,
    requestDigest: string,
    onToken: (token: TokenEvent) => Promise<void>,
    signal: AbortSignal,
  ): Promise<Result<EndEvent, Refusal>> => {
    const progress: Progress = { generation, tokens: [], mayHaveRun: false, tried: new Set() };
    budget.earn();
    let cause: FailureCause | null = null;
    for (let attempts = 0; ; attempts += 1) {
      const refusal = findRefusal(attempts, cause, requestDigest);
      if (refusal) return Err(withOutcome(progress, refusal));
      const upstream = chooseUpstream(progress);
      if (!upstream) {
        const noUpstream = notRun(
          'no-upstream',
          'no upstream can take it now',
          now() + RETRY_AFTER_MS,
        );
        return Err(withOutcome(progress, noUpstream));
      }
      progress.tried.add(upstream.status.id);
      const answer = await attempt(upstream, progress, onToken, signal);
      if (answer.ok) {
        directory.recordSuccess(upstream);
        return Ok(answer.val);
      }
      progress.mayHaveRun ||= !isNotRun(answer.val);
      if (answer.val === 'cancelled') {
        return Err(withOutcome(progress, notRun('caller-gone', 'the request was given up')));
      }
      cause = await recordFault(upstream, answer.val, requestDigest);
    }
  };
};

export type GenerationRelay = ReturnType<typeof newGenerationRelay>;

export default newGenerationRelay;

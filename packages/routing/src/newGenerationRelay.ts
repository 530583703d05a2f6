import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { Suspects } from '@cyclamengate/coordination/newSuspects';
import type { EndEvent, Generation, TokenEvent } from '@cyclamengate/upstreams/generation';
import type ModelEngine from '@cyclamengate/upstreams/ModelEngine';
import type { UpstreamDirectory } from '@cyclamengate/upstreams/newUpstreamDirectory';
import type { Upstream } from '@cyclamengate/upstreams/upstream';
import { isNotRun } from '@cyclamengate/upstreams/upstreamFault';
import type { UpstreamFault } from '@cyclamengate/upstreams/upstreamFault';
import findCause from './findCause.js';
import type { BreakCause } from './findCause.js';
import type { RetryBudget } from './newRetryBudget.js';
import { notRun } from './refusal.js';
import type { Refusal } from './refusal.js';
import type UpstreamChoice from './UpstreamChoice.js';

const MOST_ATTEMPTS = 4;
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
  /** Whether an upstream may have begun to run it. */
  mayHaveRun: boolean;
  tried: Set<string>;
}

const refusalOf = (progress: Progress, refusal: Refusal): Refusal => {
  if (progress.tokens.length > 0) return { ...refusal, outcome: 'partial' };
  return progress.mayHaveRun ? { ...refusal, outcome: 'unknown' } : refusal;
};

/**
 * Relays a generation from upstreams to its caller. An upstream that fails in the middle is
 * replaced by another one that goes on after the tokens that were passed on already, so the caller
 * sees one answer without a gap or a repetition.
 * @param requestDigest names the request's content, to find out whether it kills upstreams
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
    directory.begin(upstream);
    const generation = { ...progress.generation, prefix: [...progress.tokens] };
    const relay = async (token: TokenEvent): Promise<void> => {
      progress.tokens.push(token.text);
      await onToken(token);
    };
    const answer = await engine.generate(upstream.status.url, generation, relay, signal);
    directory.end(upstream);
    return answer;
  };

  /** @returns why the upstream failed; `unclear` when it ran nothing */
  const noteFault = async (
    upstream: Upstream,
    fault: UpstreamFault,
    requestDigest: string,
  ): Promise<BreakCause> => {
    directory.fail(upstream);
    if (isNotRun(fault)) return 'unclear';
    const cause = await findCause(engine, directory, upstream);
    if (cause === 'died') suspects.add(requestDigest, upstream.status.id);
    return cause;
  };

  /**
   * Whether one more attempt may be made. An upstream that is gone took all its requests down with
   * it, once; going on elsewhere multiplies nothing, so only retries towards upstreams that are
   * still there are charged to the budget.
   */
  const mayRetry = (attempts: number, cause: BreakCause | null): boolean => {
    if (attempts >= MOST_ATTEMPTS) return false;
    return cause !== 'unclear' || budget.spend();
  };

  const findRefusal = (
    attempts: number,
    cause: BreakCause | null,
    digest: string,
  ): Refusal | null => {
    if (suspects.isDeadly(digest)) {
      return notRun('deadly-request', 'upstreams died while running this very request');
    }
    if (mayRetry(attempts, cause)) return null;
    const message = 'upstreams failed and no retry is left';
    return notRun('retries-used-up', message, now() + RETRY_AFTER_MS);
  };

  return async (
    generation: Generation,
    requestDigest: string,
    onToken: (token: TokenEvent) => Promise<void>,
    signal: AbortSignal,
  ): Promise<Result<EndEvent, Refusal>> => {
    const progress: Progress = { generation, tokens: [], mayHaveRun: false, tried: new Set() };
    budget.earn();
    let cause: BreakCause | null = null;
    for (let attempts = 0; ; attempts += 1) {
      const refusal = findRefusal(attempts, cause, requestDigest);
      if (refusal) return Err(refusalOf(progress, refusal));
      const upstream = chooseUpstream(progress);
      if (!upstream) {
        const none = notRun('no-upstream', 'no upstream can take it now', now() + RETRY_AFTER_MS);
        return Err(refusalOf(progress, none));
      }
      progress.tried.add(upstream.status.id);
      const answer = await attempt(upstream, progress, onToken, signal);
      if (answer.ok) {
        directory.succeed(upstream);
        return Ok(answer.val);
      }
      progress.mayHaveRun ||= !isNotRun(answer.val);
      if (answer.val === 'cancelled') {
        return Err(refusalOf(progress, notRun('caller-gone', 'the request was given up')));
      }
      cause = await noteFault(upstream, answer.val, requestDigest);
    }
  };
};

export type GenerationRelay = ReturnType<typeof newGenerationRelay>;

export default newGenerationRelay;

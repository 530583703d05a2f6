import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';

const POLL_INTERVAL_MS = 100;

export interface TrainerStandinOptions {
  /** URLs of the rollout processes; the next one is used when one does not respond. */
  rollouts: string[];
  trainer: string;
  key: string;
}

export interface StepSummary {
  step: number;
  samples: { slot: number; segments: { version: number; tokens: number }[] }[];
  durationMs: number;
}

interface JsonResponse {
  status: number;
  body: Record<string, unknown>;
}

/** A trainer that publishes weights, requests steps and reads their samples by cursor. */
const newTrainerStandin = ({ rollouts, trainer, key }: TrainerStandinOptions) => {
  let currentRollout = 0;

  const send = async (
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<JsonResponse> => {
    const url = `${rollouts[currentRollout % rollouts.length]}/v1/trainers/${trainer}${path}`;
    try {
      const answer = await request(url, {
        method,
        headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: 10_000,
        bodyTimeout: 10_000,
      });
      return {
        status: answer.statusCode,
        body: (await answer.body.json()) as Record<string, unknown>,
      };
    } catch {
      currentRollout += 1;
      return { status: 0, body: {} };
    }
  };

  const sendUntilAccepted = async (method: 'GET' | 'POST', path: string, body?: unknown) => {
    for (;;) {
      const answer = await send(method, path, body);
      if (answer.status >= 200 && answer.status < 300) return answer.body;
      if (answer.status === 410)
        throw new Error(`step lost, status 410: ${JSON.stringify(answer.body)}`);
      await sleep(POLL_INTERVAL_MS);
    }
  };

  const publishWeights = (version: number) => sendUntilAccepted('POST', '/weights', { version });

  const runStep = async (
    step: number,
    prompts: string[],
    groupSize: number,
    maxTokens: number,
  ): Promise<StepSummary> => {
    const startedAt = performance.now();
    const stepRequest = { step, prompts, groupSize, maxTokens };
    await sendUntilAccepted('POST', '/steps', stepRequest);
    const samples: StepSummary['samples'] = [];
    for (let isComplete = false; !isComplete;) {
      const page = await sendUntilAccepted(
        'GET',
        `/steps/${step}/samples?cursor=${samples.length}`,
      );
      samples.push(...(page.samples as StepSummary['samples']));
      isComplete = page.isComplete as boolean;
      // The rollout process that was filling the step died or its timeout passed: request the step again.
      if (!isComplete && !page.isFilling) await sendUntilAccepted('POST', '/steps', stepRequest);
      if (!isComplete) await sleep(POLL_INTERVAL_MS);
    }
    return { step, samples, durationMs: performance.now() - startedAt };
  };

  return { publishWeights, runStep };
};

export default newTrainerStandin;

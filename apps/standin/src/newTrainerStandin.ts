import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';

const POLL_MS = 100;

export interface TrainerStandinOptions {
  /** Rollout processes; the next one is asked when one does not answer. */
  rollouts: string[];
  trainer: string;
  key: string;
}

export interface StepSummary {
  step: number;
  samples: { slot: number; segments: { version: number; tokens: number }[] }[];
  durationMs: number;
}

interface Answer {
  status: number;
  body: Record<string, unknown>;
}

/** A trainer: publishes weights, asks for steps, reads samples by cursor. */
const newTrainerStandin = ({ rollouts, trainer, key }: TrainerStandinOptions) => {
  let current = 0;

  const ask = async (method: 'GET' | 'POST', path: string, body?: unknown): Promise<Answer> => {
    const url = `${rollouts[current % rollouts.length]}/v1/trainers/${trainer}${path}`;
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
      current += 1;
      return { status: 0, body: {} };
    }
  };

  const askUntil = async (method: 'GET' | 'POST', path: string, body?: unknown) => {
    for (;;) {
      const answer = await ask(method, path, body);
      if (answer.status >= 200 && answer.status < 300) return answer.body;
      if (answer.status === 410) throw new Error(`lost: ${JSON.stringify(answer.body)}`);
      await sleep(POLL_MS);
    }
  };

  const publishWeights = (version: number) => askUntil('POST', '/weights', { version });

  const runStep = async (
    step: number,
    prompts: string[],
    groupSize: number,
    maxTokens: number,
  ): Promise<StepSummary> => {
    const startedAt = performance.now();
    const wanted = { step, prompts, groupSize, maxTokens };
    await askUntil('POST', '/steps', wanted);
    const samples: StepSummary['samples'] = [];
    for (let isComplete = false; !isComplete;) {
      const page = await askUntil('GET', `/steps/${step}/samples?cursor=${samples.length}`);
      samples.push(...(page.samples as StepSummary['samples']));
      isComplete = page.isComplete as boolean;
      // The process that filled the step died, or its time is over: it is asked for again.
      if (!isComplete && !page.isFilling) await askUntil('POST', '/steps', wanted);
      if (!isComplete) await sleep(POLL_MS);
    }
    return { step, samples, durationMs: performance.now() - startedAt };
  };

  return { publishWeights, runStep };
};

export default newTrainerStandin;

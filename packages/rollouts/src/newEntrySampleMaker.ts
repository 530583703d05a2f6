import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import parseJson from '@cyclamengate/common/parseJson';
import { restore } from '@cyclamengate/common/restore';
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';
import { z } from 'zod';
import newSegments from './newSegments.js';
import SampleMaker from './SampleMaker.js';
import type { GeneratedTokens, SampleFault } from './SampleMaker.js';

const IDLE_TIMEOUT_MS = 30_000;
const REQUEST_TIMEOUT_MS = 120_000;

const chunkSchema = z.object({
  choices: z.array(z.object({ text: z.string(), finish_reason: z.string().nullable() })),
  version: z.int().nullable().optional(),
});

const scoreSchema = z.object({ score: z.number() });

const toSampleFault = (status: number): SampleFault =>
  status === 401 || status === 422 ? 'refused-for-good' : 'failed';

const readStream = async (
  body: AsyncIterable<unknown>,
): Promise<Result<GeneratedTokens, SampleFault>> => {
  const received: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => received.push(data) });
  const decoder = new TextDecoder();
  const tokens: string[] = [];
  const segments = newSegments();
  let isComplete = false;
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes as Buffer, { stream: true }));
    for (const data of received.splice(0)) {
      const raw = data === '[DONE]' ? null : parseJson(data);
      const chunk = raw?.ok ? restore(chunkSchema, raw.val) : null;
      if (data !== '[DONE]' && !chunk?.ok) return Err('failed');
      const choice = chunk?.ok ? chunk.val.choices[0] : undefined;
      const version = chunk?.ok ? chunk.val.version : undefined;
      if (choice && choice.finish_reason !== null) isComplete = true;
      else if (choice) {
        // A token of unknown version cannot be attributed, and leaving it out would corrupt the
        // sample.
        if (typeof version !== 'number') return Err('failed');
        tokens.push(choice.text);
        segments.add(version);
      }
    }
  }
  return isComplete && tokens.length > 0
    ? Ok({ tokens, segments: segments.list() })
    : Err('failed');
};

/**
 * Makes samples through the entries, so that training work is queued with all other requests and
 * the trainer's key is checked like any other key.
 */
const newEntrySampleMaker = (pickEntry: () => string | null): SampleMaker => {
  const agent = new Agent({
    headersTimeout: IDLE_TIMEOUT_MS,
    bodyTimeout: IDLE_TIMEOUT_MS,
    connections: 256,
    pipelining: 1,
  });

  const post = async <T>(
    path: string,
    key: string,
    body: unknown,
    signal: AbortSignal,
    read: (answer: AsyncIterable<unknown>) => Promise<Result<T, SampleFault>>,
  ): Promise<Result<T, SampleFault>> => {
    const entry = pickEntry();
    if (!entry) return Err('failed');
    try {
      const answer = await request(`${entry}${path}`, {
        method: 'POST',
        dispatcher: agent,
        signal: AbortSignal.any([signal, AbortSignal.timeout(REQUEST_TIMEOUT_MS)]),
        headers: {
          authorization: `Bearer ${key}`,
          'content-type': 'application/json',
          'x-priority': 'training',
        },
        body: JSON.stringify(body),
      });
      if (answer.statusCode === 200) return await read(answer.body);
      await answer.body.dump();
      return Err(toSampleFault(answer.statusCode));
    } catch {
      return Err('failed');
    }
  };

  const readScore = async (body: AsyncIterable<unknown>): Promise<Result<number, SampleFault>> => {
    const chunks: Buffer[] = [];
    for await (const bytes of body) chunks.push(bytes as Buffer);
    const raw = parseJson(Buffer.concat(chunks).toString());
    const score = raw.ok ? restore(scoreSchema, raw.val) : null;
    return score?.ok ? Ok(score.val.score) : Err('failed');
  };

  class EntrySampleMaker extends SampleMaker {
    generate(
      key: string,
      service: string,
      prompt: string,
      maxTokens: number,
      signal: AbortSignal,
    ): Promise<Result<GeneratedTokens, SampleFault>> {
      const body = { model: service, prompt, max_tokens: maxTokens, stream: true };
      return post('/v1/completions', key, body, signal, readStream);
    }

    score(
      key: string,
      service: string,
      prompt: string,
      tokens: readonly string[],
      signal: AbortSignal,
    ): Promise<Result<number, SampleFault>> {
      const body = { prompt, completion: tokens.join('') };
      return post(`/v1/services/${service}/score`, key, body, signal, readScore);
    }
  }
  return new EntrySampleMaker();
};

export default newEntrySampleMaker;

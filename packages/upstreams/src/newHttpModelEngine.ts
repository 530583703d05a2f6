import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import parseJson from '@cyclamengate/common/parseJson';
import { restore } from '@cyclamengate/common/restore';
import newHttpCaller from '@cyclamengate/platform/newHttpCaller';
import type { PlatformFault } from '@cyclamengate/platform/platformFault';
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { engineStatusSchema } from './engineStatus.js';
import type { EngineStatus } from './engineStatus.js';
import { generationEventSchema } from './generation.js';
import type { EndEvent, Generation, TokenEvent } from './generation.js';
import ModelEngine from './ModelEngine.js';
import type { UpstreamFault } from './upstreamFault.js';
import type { WeightOrder } from './weightOrder.js';

const CONNECT_TIMEOUT_MS = 500;
/** Maximum time until the first byte of an answer, and between two chunks of it. */
const IDLE_TIMEOUT_MS = 5_000;
/** Timeout for the answer to a weight order. */
export const WEIGHT_ORDER_TIMEOUT_MS = 1_500;
const STATUS_TIMEOUT_MS = 1_500;

const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'ENETUNREACH',
  'EHOSTUNREACH',
]);
const TIMEOUT_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Maps an error of the HTTP library to a fault, which tells whether the request may have run. */
export const toUpstreamFault = (error: unknown, signal: AbortSignal): UpstreamFault => {
  if (signal.aborted) return 'cancelled';
  const { code = '' } = error as { code?: string };
  if (NOT_SENT_CODES.has(code)) return 'not-sent';
  return TIMEOUT_CODES.has(code) ? 'silent' : 'broken';
};

const fromPlatformFault = (fault: PlatformFault): UpstreamFault =>
  fault === 'unknown' ? 'broken' : fault;

/**
 * Validates that each event belongs to the request, by its id, and is the next one, by its index.
 * An event of another request, a late event or one after a gap is rejected.
 */
const newEventValidator = (generation: Generation) => {
  let nextIndex = generation.prefix.length;
  return (data: string): TokenEvent | EndEvent | null => {
    const raw = parseJson(data);
    const event = raw.ok ? restore(generationEventSchema, raw.val) : null;
    if (!event?.ok || event.val.requestId !== generation.requestId) return null;
    if ('finishReason' in event.val) return event.val.tokens === nextIndex ? event.val : null;
    if (event.val.index !== nextIndex) return null;
    nextIndex += 1;
    return event.val;
  };
};

/** Reads all events of one answer. */
const readAnswer = async (
  body: Dispatcher.ResponseData['body'],
  generation: Generation,
  onToken: (token: TokenEvent) => Promise<void>,
): Promise<Result<EndEvent, UpstreamFault>> => {
  const received: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => received.push(data) });
  const decoder = new TextDecoder();
  const validate = newEventValidator(generation);
  let end: EndEvent | null = null;
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
    for (const data of received.splice(0)) {
      const event = validate(data);
      if (!event || end) return Err('malformed');
      if ('finishReason' in event) end = event;
      else await onToken(event);
    }
  }
  // A connection may close cleanly before the answer is complete; without an end event it is
  // truncated.
  return end ? Ok(end) : Err('broken');
};

/** Client of model engines with the stand-in's interface of HTTP and server-sent events. */
export const newHttpModelEngine = (): ModelEngine => {
  const agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: IDLE_TIMEOUT_MS,
    bodyTimeout: IDLE_TIMEOUT_MS,
    pipelining: 1,
  });
  const statusAgent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1 });

  /** Uses keep-alive connections, since every upstream is polled about once a second. */
  const readStatus = async (url: string): Promise<Result<EngineStatus, UpstreamFault>> => {
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
    try {
      const answer = await request(`${url}/v1/status`, { dispatcher: statusAgent, signal });
      const status = restore(engineStatusSchema, await answer.body.json());
      return status.ok ? status : Err('malformed');
    } catch (error) {
      const fault = toUpstreamFault(error, signal);
      return Err(fault === 'cancelled' ? 'silent' : fault);
    }
  };

  /** Uses a separate connection for each order, since a timeout resets the connection. */
  const orderWeights = async (
    url: string,
    order: WeightOrder,
    isStillHeld: () => boolean,
  ): Promise<Result<EngineStatus, UpstreamFault>> => {
    const caller = newHttpCaller(url, WEIGHT_ORDER_TIMEOUT_MS);
    const answer = await caller.order('/v1/weights', engineStatusSchema, order, isStillHeld);
    await caller.close();
    return answer.ok ? answer : Err(fromPlatformFault(answer.val));
  };

  class HttpModelEngine extends ModelEngine {
    async generate(
      url: string,
      generation: Generation,
      onToken: (token: TokenEvent) => Promise<void>,
      signal: AbortSignal,
    ): Promise<Result<EndEvent, UpstreamFault>> {
      try {
        const answer = await request(`${url}/v1/generate`, {
          method: 'POST',
          dispatcher: agent,
          signal,
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(generation),
        });
        if (answer.statusCode !== 200) {
          await answer.body.dump();
          return Err(answer.statusCode === 503 ? 'refused' : 'broken');
        }
        return await readAnswer(answer.body, generation, onToken);
      } catch (error) {
        return Err(toUpstreamFault(error, signal));
      }
    }

    readStatus(url: string): Promise<Result<EngineStatus, UpstreamFault>> {
      return readStatus(url);
    }

    orderWeights(
      url: string,
      order: WeightOrder,
      isStillHeld: () => boolean,
    ): Promise<Result<EngineStatus, UpstreamFault>> {
      return orderWeights(url, order, isStillHeld);
    }
  }
  return new HttpModelEngine();
};

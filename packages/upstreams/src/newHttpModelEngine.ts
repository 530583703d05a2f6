import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { parseJson } from '@cyclamengate/common/readBody';
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
/** Longest silence before the first byte of an answer and between two chunks of it. */
const IDLE_TIMEOUT_MS = 5_000;
/** A weight order's answer must be in by then. */
export const WEIGHT_ORDER_TIMEOUT_MS = 1_500;
const STATUS_TIMEOUT_MS = 1_500;

const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'ENETUNREACH',
  'EHOSTUNREACH',
]);
const SILENT_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Tells from an error of the HTTP library what can have run. */
export const upstreamFaultOf = (error: unknown, signal: AbortSignal): UpstreamFault => {
  if (signal.aborted) return 'cancelled';
  const { code = '' } = error as { code?: string };
  if (NOT_SENT_CODES.has(code)) return 'not-sent';
  return SILENT_CODES.has(code) ? 'silent' : 'broken';
};

const faultOfCall = (fault: PlatformFault): UpstreamFault =>
  fault === 'unknown' ? 'broken' : fault;

/**
 * Binds events to their request by id and to their place by index: an answer that belongs to
 * another request, arrives late or leaves something out is never passed on.
 */
const newEventCheck = (generation: Generation) => {
  let expected = generation.prefix.length;
  return (data: string): TokenEvent | EndEvent | null => {
    const raw = parseJson(data);
    const event = raw.ok ? restore(generationEventSchema, raw.val) : null;
    if (!event?.ok || event.val.requestId !== generation.requestId) return null;
    if ('finishReason' in event.val) return event.val.tokens === expected ? event.val : null;
    if (event.val.index !== expected) return null;
    expected += 1;
    return event.val;
  };
};

/** Reads one answer's events to their end. */
const readAnswer = async (
  body: Dispatcher.ResponseData['body'],
  generation: Generation,
  onToken: (token: TokenEvent) => Promise<void>,
): Promise<Result<EndEvent, UpstreamFault>> => {
  const arrived: string[] = [];
  const parser = createParser({ onEvent: ({ data }) => arrived.push(data) });
  const decoder = new TextDecoder();
  const check = newEventCheck(generation);
  let end: EndEvent | null = null;
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
    for (const data of arrived.splice(0)) {
      const event = check(data);
      if (!event || end) return Err('malformed');
      if ('finishReason' in event) end = event;
      else await onToken(event);
    }
  }
  // A connection may end in good order before the answer does: a short answer is never a whole one.
  return end ? Ok(end) : Err('broken');
};

/** Model engines that speak the stand-in's HTTP and server-sent events. */
export const newHttpModelEngine = (): ModelEngine => {
  const agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: IDLE_TIMEOUT_MS,
    bodyTimeout: IDLE_TIMEOUT_MS,
    pipelining: 1,
  });
  const statusAgent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1 });

  /** Over connections that are kept: every upstream is read every second or so. */
  const readStatus = async (url: string): Promise<Result<EngineStatus, UpstreamFault>> => {
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
    try {
      const answer = await request(`${url}/v1/status`, { dispatcher: statusAgent, signal });
      const status = restore(engineStatusSchema, await answer.body.json());
      return status.ok ? status : Err('malformed');
    } catch (error) {
      const fault = upstreamFaultOf(error, signal);
      return Err(fault === 'cancelled' ? 'silent' : fault);
    }
  };

  /** Orders weights over a connection of its own: its timeout takes that connection down with it. */
  const orderWeights = async (
    url: string,
    order: WeightOrder,
    isStillHeld: () => boolean,
  ): Promise<Result<EngineStatus, UpstreamFault>> => {
    const caller = newHttpCaller(url, WEIGHT_ORDER_TIMEOUT_MS);
    const answer = await caller.order('/v1/weights', engineStatusSchema, order, isStillHeld);
    await caller.close();
    return answer.ok ? answer : Err(faultOfCall(answer.val));
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
        return Err(upstreamFaultOf(error, signal));
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

import type { ServerResponse } from 'node:http';
import digest from '@cyclamengate/common/digest';
import { sendJson } from '@cyclamengate/common/handler';
import type { HandlerRequest } from '@cyclamengate/common/handler';
import newId from '@cyclamengate/common/newId';
import { Err } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { parseJson } from '@cyclamengate/common/readBody';
import { formatProblems, restore } from '@cyclamengate/common/restore';
import writeEvent from '@cyclamengate/common/writeEvent';
import { notRun } from '@cyclamengate/routing/refusal';
import type { Refusal } from '@cyclamengate/routing/refusal';
import type { EndEvent, Generation, TokenEvent } from '@cyclamengate/upstreams/generation';
import { completionRequestSchema, promptOf } from './completionRequest.js';
import type { CompletionRequest } from './completionRequest.js';
import type { EntryParts } from './entryParts.js';
import type { Admitted } from './newGate.js';
import { refusalBody, sendRefusal } from './sendRefusal.js';
import serveOpen from './serveOpen.js';

const CHARACTERS_PER_TOKEN = 4;

const parseRequest = (body: Buffer): Result<CompletionRequest, Refusal> => {
  const raw = parseJson(body.toString());
  if (!raw.ok) return Err(notRun('bad-request', 'the body is not JSON'));
  const restored = restore(completionRequestSchema, raw.val);
  return restored.ok ? restored : Err(notRun('bad-request', formatProblems(restored.val)));
};

const chunkOf = (requestId: string, model: string, { text, version }: TokenEvent): string =>
  JSON.stringify({
    id: requestId,
    object: 'text_completion',
    model,
    choices: [{ index: 0, text, finish_reason: null }],
    version,
  });

const usageOf = (promptTokens: number, outputTokens: number) => ({
  prompt_tokens: promptTokens,
  completion_tokens: outputTokens,
  total_tokens: promptTokens + outputTokens,
});

/** Whom a token goes to: a stream at once, a whole answer at the end. */
interface Sink {
  take: (token: TokenEvent) => Promise<void>;
  finish: (end: EndEvent) => Promise<void>;
  refuse: (refusal: Refusal) => Promise<void>;
}

interface SinkOptions {
  response: ServerResponse;
  requestId: string;
  model: string;
  promptTokens: number;
  now: () => number;
}

const newStreamSink = ({ response, requestId, model, promptTokens, now }: SinkOptions): Sink => {
  const begin = (): void => {
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-request-id': requestId,
    });
  };
  return {
    take: async (token) => {
      begin();
      await writeEvent(response, chunkOf(requestId, model, token));
    },
    finish: async ({ tokens, finishReason }) => {
      begin();
      const choices = [{ index: 0, text: '', finish_reason: finishReason }];
      const usage = usageOf(promptTokens, tokens);
      const last = { id: requestId, object: 'text_completion', model, choices, usage };
      await writeEvent(response, JSON.stringify(last));
      await writeEvent(response, '[DONE]');
      response.end();
    },
    refuse: async (refusal) => {
      if (!response.headersSent) {
        sendRefusal(response, refusal, requestId, now());
        return;
      }
      // No [DONE] follows, so a reader can't take the part for the whole.
      await writeEvent(response, JSON.stringify(refusalBody(refusal, requestId)));
      response.end();
    },
  };
};

const newWholeSink = ({ response, requestId, model, promptTokens, now }: SinkOptions): Sink => {
  const texts: string[] = [];
  const versions = new Set<number>();
  return {
    take: async ({ text, version }) => {
      texts.push(text);
      versions.add(version);
    },
    finish: async ({ tokens, finishReason }) =>
      sendJson(
        response,
        200,
        {
          id: requestId,
          object: 'text_completion',
          model,
          choices: [{ index: 0, text: texts.join(''), finish_reason: finishReason }],
          versions: [...versions],
          usage: usageOf(promptTokens, tokens),
        },
        { 'x-request-id': requestId },
      ),
    refuse: async (refusal) => sendRefusal(response, refusal, requestId, now()),
  };
};

/** Serves a completion: key, queue, upstream, relay, meter. */
const newCompletionHandler = (parts: EntryParts) => {
  const { daemon, gate, relayGeneration, meter } = parts;
  const { clock, metrics, log, runtime } = daemon;
  const now = (): number => clock.now();

  const hasModel = (model: string): boolean =>
    runtime.effective().services.get(model)?.type === 'model';

  const generate = async (
    admitted: Admitted,
    request: CompletionRequest,
    sink: Sink,
    promptTokens: number,
    signal: AbortSignal,
  ) => {
    const { requestId, caller, priority } = admitted;
    const prompt = promptOf(request);
    const generation: Generation = {
      requestId,
      customer: caller.customer.id,
      service: request.model,
      prompt,
      prefix: [],
      maxTokens: request.max_tokens,
      priority,
    };
    const contentDigest = digest(`${caller.customer.id}\n${request.model}\n${prompt}`);
    let relayed = 0;
    const startedAt = now();
    const take = async (token: TokenEvent): Promise<void> => {
      if (relayed === 0) metrics.observe('first_token', now() - startedAt);
      relayed += 1;
      await sink.take(token);
    };
    const answer = await relayGeneration(generation, contentDigest, take, signal);
    // What was passed on is billed, also when the rest failed; what failed before that is not.
    if (answer.ok || relayed > 0) {
      meter.add(caller.customer.id, { requests: 1, promptTokens, outputTokens: relayed });
    }
    metrics.count('tokens_relayed', relayed);
    return { answer, tokens: promptTokens + relayed };
  };

  const serve = async (
    admitted: Admitted,
    request: CompletionRequest,
    response: ServerResponse,
  ): Promise<void> => {
    const { requestId, caller } = admitted;
    const promptTokens = Math.ceil(promptOf(request).length / CHARACTERS_PER_TOKEN);
    const newSink = request.stream ? newStreamSink : newWholeSink;
    const sink = newSink({ response, requestId, model: request.model, promptTokens, now });
    const cost = promptTokens + request.max_tokens;
    const controller = gate.watchCaller(response);
    const startedAt = now();
    const answer = await serveOpen(parts, admitted, request.model, cost, controller, (signal) =>
      generate(admitted, request, sink, promptTokens, signal),
    );
    if (answer.ok) await sink.finish(answer.val);
    else await sink.refuse(answer.val);
    const outcome = answer.ok ? 'whole' : answer.val.code;
    metrics.count(`completions_${outcome.replaceAll('-', '_')}`);
    metrics.observe('completion', now() - startedAt);
    log.debug({ event: 'completion', requestId, customer: caller.customer.id, outcome });
  };

  return async (request: HandlerRequest, response: ServerResponse): Promise<void> => {
    const admitted = await gate.admit(request);
    if (!admitted.ok) {
      metrics.count(`completions_${admitted.val.code.replaceAll('-', '_')}`);
      sendRefusal(response, admitted.val, newId('request'), now());
      return;
    }
    const { requestId } = admitted.val;
    const wanted = parseRequest(admitted.val.body);
    if (!wanted.ok) {
      sendRefusal(response, wanted.val, requestId, now());
      return;
    }
    if (!hasModel(wanted.val.model)) {
      const unknown = notRun('unknown-service', `no model ${wanted.val.model} in the settings`);
      sendRefusal(response, unknown, requestId, now());
      return;
    }
    await serve(admitted.val, wanted.val, response);
  };
};

export default newCompletionHandler;

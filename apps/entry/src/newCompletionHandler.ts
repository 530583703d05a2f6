import type { ServerResponse } from 'node:http';
import digest from '@cyclamengate/common/digest';
import { sendJson } from '@cyclamengate/common/handler';
import type { HandlerRequest } from '@cyclamengate/common/handler';
import newId from '@cyclamengate/common/newId';
import { Err } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import parseJson from '@cyclamengate/common/parseJson';
import { formatProblems, restore } from '@cyclamengate/common/restore';
import writeEvent from '@cyclamengate/common/writeEvent';
import { notRun } from '@cyclamengate/routing/refusal';
import type { Refusal } from '@cyclamengate/routing/refusal';
import type { EndEvent, Generation, TokenEvent } from '@cyclamengate/upstreams/generation';
import { completionRequestSchema, buildPrompt } from './completionRequest.js';
import type { CompletionRequest } from './completionRequest.js';
import type { EntryDependencies } from './entryDependencies.js';
import type { AdmittedRequest } from './newGate.js';
import { newRefusalBody, sendRefusal } from './sendRefusal.js';
import serveAdmitted from './serveAdmitted.js';

const CHARACTERS_PER_TOKEN = 4;

const parseRequest = (body: Buffer): Result<CompletionRequest, Refusal> => {
  const raw = parseJson(body.toString());
  if (!raw.ok) return Err(notRun('bad-request', 'the body is not JSON'));
  const restored = restore(completionRequestSchema, raw.val);
  return restored.ok ? restored : Err(notRun('bad-request', formatProblems(restored.val)));
};

const formatChunk = (requestId: string, model: string, { text, version }: TokenEvent): string =>
  JSON.stringify({
    id: requestId,
    object: 'text_completion',
    model,
    choices: [{ index: 0, text, finish_reason: null }],
    version,
  });

const newUsage = (promptTokens: number, outputTokens: number) => ({
  prompt_tokens: promptTokens,
  completion_tokens: outputTokens,
  total_tokens: promptTokens + outputTokens,
});

/** Sends the tokens of a completion to the caller, one by one or in a single response at the end. */
interface Sink {
  writeToken: (token: TokenEvent) => Promise<void>;
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
  const sendHeaders = (): void => {
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-request-id': requestId,
    });
  };
  return {
    writeToken: async (token) => {
      sendHeaders();
      await writeEvent(response, formatChunk(requestId, model, token));
    },
    finish: async ({ tokens, finishReason }) => {
      sendHeaders();
      const choices = [{ index: 0, text: '', finish_reason: finishReason }];
      const usage = newUsage(promptTokens, tokens);
      const lastChunk = { id: requestId, object: 'text_completion', model, choices, usage };
      await writeEvent(response, JSON.stringify(lastChunk));
      await writeEvent(response, '[DONE]');
      response.end();
    },
    refuse: async (refusal) => {
      if (!response.headersSent) {
        sendRefusal(response, refusal, requestId, now());
        return;
      }
      // No [DONE] follows, so that the caller can detect a truncated answer.
      await writeEvent(response, JSON.stringify(newRefusalBody(refusal, requestId)));
      response.end();
    },
  };
};

const newBufferedSink = ({ response, requestId, model, promptTokens, now }: SinkOptions): Sink => {
  const texts: string[] = [];
  const versions = new Set<number>();
  return {
    writeToken: async ({ text, version }) => {
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
          usage: newUsage(promptTokens, tokens),
        },
        { 'x-request-id': requestId },
      ),
    refuse: async (refusal) => sendRefusal(response, refusal, requestId, now()),
  };
};

/** Serves completion requests: admits and queues them, relays the engine's tokens, meters usage. */
const newCompletionHandler = (dependencies: EntryDependencies) => {
  const { daemon, gate, relayGeneration, meter } = dependencies;
  const { clock, metrics, log, runtime } = daemon;
  const now = (): number => clock.now();

  const hasModel = (model: string): boolean =>
    runtime.effective().services.get(model)?.type === 'model';

  const generate = async (
    admitted: AdmittedRequest,
    request: CompletionRequest,
    sink: Sink,
    promptTokens: number,
    signal: AbortSignal,
  ) => {
    const { requestId, caller, priority } = admitted;
    const prompt = buildPrompt(request);
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
    let relayedTokens = 0;
    const startedAt = now();
    const relayToken = async (token: TokenEvent): Promise<void> => {
      if (relayedTokens === 0) metrics.observe('first_token', now() - startedAt);
      relayedTokens += 1;
      await sink.writeToken(token);
    };
    const answer = await relayGeneration(generation, contentDigest, relayToken, signal);
    // Relayed tokens are billed even if the answer fails afterwards. A request that fails before
    // its first token is not billed.
    if (answer.ok || relayedTokens > 0) {
      meter.add(caller.customer.id, { requests: 1, promptTokens, outputTokens: relayedTokens });
    }
    metrics.count('tokens_relayed', relayedTokens);
    return { answer, tokens: promptTokens + relayedTokens };
  };

  const serve = async (
    admitted: AdmittedRequest,
    request: CompletionRequest,
    response: ServerResponse,
  ): Promise<void> => {
    const { requestId, caller } = admitted;
    const promptTokens = Math.ceil(buildPrompt(request).length / CHARACTERS_PER_TOKEN);
    const newSink = request.stream ? newStreamSink : newBufferedSink;
    const sink = newSink({ response, requestId, model: request.model, promptTokens, now });
    const cost = promptTokens + request.max_tokens;
    const controller = gate.watchCaller(response);
    const startedAt = now();
    const answer = await serveAdmitted(
      dependencies,
      admitted,
      request.model,
      cost,
      controller,
      (signal) => generate(admitted, request, sink, promptTokens, signal),
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
    const parsed = parseRequest(admitted.val.body);
    if (!parsed.ok) {
      sendRefusal(response, parsed.val, requestId, now());
      return;
    }
    if (!hasModel(parsed.val.model)) {
      const unknown = notRun('unknown-service', `no model ${parsed.val.model} in the settings`);
      sendRefusal(response, unknown, requestId, now());
      return;
    }
    await serve(admitted.val, parsed.val, response);
  };
};

export default newCompletionHandler;

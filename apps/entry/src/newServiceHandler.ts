import type { ServerResponse } from 'node:http';
import digest from '@cyclamengate/common/digest';
import type { HandlerRequest } from '@cyclamengate/common/handler';
import newId from '@cyclamengate/common/newId';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { notRun } from '@cyclamengate/routing/refusal';
import type { Refusal } from '@cyclamengate/routing/refusal';
import type { ServiceSettings } from '@cyclamengate/settings/serviceSettings';
import type { ServiceAnswer, ServiceCall } from '@cyclamengate/upstreams/serviceCall';
import { z } from 'zod';
import type { EntryDependencies } from './entryDependencies.js';
import type { AdmittedRequest } from './newGate.js';
import { sendRefusal } from './sendRefusal.js';
import serveAdmitted from './serveAdmitted.js';

/** Cost of one call in the fair queue, in tokens. */
const CALL_COST_TOKENS = 50;
const CALL_PATH = /^\/v1\/services\/([a-z0-9-]+)\/([\w./-]*)$/;
const KEY_PREFIX_PATTERN = /cgk_/;
const methodSchema = z.enum(['GET', 'POST', 'PUT', 'DELETE']);
const idempotencyKeySchema = z
  .string()
  .min(1)
  .max(200)
  .regex(/^[\w.:-]+$/);

interface Target {
  service: ServiceSettings;
  call: ServiceCall;
  /** Null for an idempotent call. */
  idempotencyKey: string | null;
}

/** Serves calls to plain and scoring services. */
const newServiceHandler = (dependencies: EntryDependencies) => {
  const { daemon, gate, relayService, claimCall, meter } = dependencies;
  const { clock, metrics, log, runtime } = daemon;

  /**
   * Builds the call to the upstream from the method, the path and the body of the request. No header
   * of the caller is forwarded, so neither its key nor a smuggled header reaches the upstream.
   */
  const findTarget = (
    request: HandlerRequest,
    admitted: AdmittedRequest,
  ): Result<Target, Refusal> => {
    const [, id = '', upstreamPath = ''] = CALL_PATH.exec(request.path) ?? [];
    const service = runtime.effective().services.get(id);
    if (!service || service.type === 'model' || upstreamPath.includes('..')) {
      return Err(notRun('unknown-service', `no service at ${CALL_PATH.source}`));
    }
    if (KEY_PREFIX_PATTERN.test(request.originalUrl) || admitted.body.includes('cgk_')) {
      return Err(notRun('bad-request', 'a key belongs into the authorization header alone'));
    }
    const method = methodSchema.safeParse(request.method);
    if (!method.success) return Err(notRun('bad-request', 'allowed: GET, POST, PUT, DELETE'));
    const isIdempotent = service.idempotent || method.data === 'GET';
    const idempotencyKey = idempotencyKeySchema.safeParse(request.headers['idempotency-key']);
    if (!isIdempotent && !idempotencyKey.success) {
      const message = 'this service needs an idempotency-key header of 1 to 200 letters or digits';
      return Err(notRun('idempotency-key-missing', message));
    }
    const call: ServiceCall = {
      requestId: admitted.requestId,
      customer: admitted.caller.customer.id,
      method: method.data,
      path: `/call/${upstreamPath}`,
      contentType: 'application/json',
      body: admitted.body.length > 0 ? admitted.body : null,
    };
    const key = isIdempotent ? null : (idempotencyKey.data ?? null);
    return Ok({ service, call, idempotencyKey: key });
  };

  /** Runs a non-idempotent call, but only after the log has accepted a claim for it. */
  const runClaimed = async (
    { service, call }: Target,
    idempotencyKey: string,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, Refusal>> => {
    const requestDigest = digest(`${call.method} ${call.path}\n${call.body?.toString() ?? ''}`);
    const claim = await claimCall(call.customer, idempotencyKey, requestDigest);
    if (!claim.ok) return claim;
    if (signal.aborted) {
      claim.val.recordOutcome('not-run');
      return Err(notRun('caller-gone', 'given up before it was sent'));
    }
    const answer = await relayService(service.id, call, false, signal);
    if (answer.ok) claim.val.recordOutcome('ran');
    else claim.val.recordOutcome(answer.val.outcome === 'not-run' ? 'not-run' : 'unknown');
    return answer;
  };

  const callService = (
    target: Target,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, Refusal>> =>
    target.idempotencyKey === null
      ? relayService(target.service.id, target.call, true, signal)
      : runClaimed(target, target.idempotencyKey, signal);

  const sendAnswer = (response: ServerResponse, answer: ServiceAnswer, requestId: string): void => {
    if (response.destroyed) return;
    response.writeHead(answer.status, {
      'content-type': answer.contentType,
      'content-length': String(answer.body.length),
      'x-request-id': requestId,
    });
    response.end(answer.body);
  };

  return async (request: HandlerRequest, response: ServerResponse): Promise<void> => {
    const admitted = await gate.admit(request);
    if (!admitted.ok) {
      metrics.count(`calls_${admitted.val.code.replaceAll('-', '_')}`);
      sendRefusal(response, admitted.val, newId('request'), clock.now());
      return;
    }
    const { requestId, caller } = admitted.val;
    const target = findTarget(request, admitted.val);
    if (!target.ok) {
      sendRefusal(response, target.val, requestId, clock.now());
      return;
    }
    const service = target.val.service.id;
    const controller = gate.watchCaller(response);
    const startedAt = clock.now();
    const answer = await serveAdmitted(
      dependencies,
      admitted.val,
      service,
      CALL_COST_TOKENS,
      controller,
      async (signal) => {
        const relayed = await callService(target.val, signal);
        const usage = { requests: 1, promptTokens: 0, outputTokens: 0 };
        if (relayed.ok) meter.add(caller.customer.id, usage);
        return { answer: relayed, tokens: CALL_COST_TOKENS };
      },
    );
    if (answer.ok) sendAnswer(response, answer.val, requestId);
    else sendRefusal(response, answer.val, requestId, clock.now());
    const outcome = answer.ok ? 'whole' : answer.val.code;
    metrics.count(`calls_${outcome.replaceAll('-', '_')}`);
    metrics.observe('call', clock.now() - startedAt);
    log.debug({ event: 'call', requestId, customer: caller.customer.id, service, outcome });
  };
};

export default newServiceHandler;

import type { ServerResponse } from 'node:http';
import { parseCallerRequest } from '@cyclamengate/adapter/callerRequest';
import type { CallerRequest } from '@cyclamengate/adapter/callerRequest';
import type Clock from '@cyclamengate/common/Clock';
import countHeaderBytes from '@cyclamengate/common/countHeaderBytes';
import type { HandlerRequest } from '@cyclamengate/common/handler';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { MemoryBudget } from '@cyclamengate/common/newMemoryBudget';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import { announcedBytes, readBody } from '@cyclamengate/common/readBody';
import type { BodyFault } from '@cyclamengate/common/readBody';
import roundPace from '@cyclamengate/engines/roundPace';
import { findCaller, findRoute, pickService } from '@cyclamengate/gateway/findRoute';
import findHomes from '@cyclamengate/gateway/findHomes';
import type { EffectiveSettings } from '@cyclamengate/gateway/newSettingsView';
import type { RelayedRequest } from '@cyclamengate/gateway/newPlainAttempt';
import type { AdmittedRelay } from '@cyclamengate/gateway/newAdmittedRelay';
import type { StreamRelay } from '@cyclamengate/gateway/newStreamRelay';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import { notRun, rejected, uncertain } from '@cyclamengate/gateway/refusal';
import type { Refusal } from '@cyclamengate/gateway/refusal';
import type { RelayOutcome } from '@cyclamengate/gateway/relayOutcome';
import { findCallerClass } from '@cyclamengate/gateway/workClasses';
import type { WorkClass } from '@cyclamengate/gateway/workClasses';
import type { UsageMeter } from '@cyclamengate/hosts/newUsageMeter';
import type { BatchHandlers } from './newBatchHandlers.js';
import leavingRefusal from './leavingRefusal.js';
import type { Departure } from './newDeparture.js';
import newAnswerSender from './newAnswerSender.js';
import sendRefusal from './sendRefusal.js';

/** A starting host has its settings within a second unless the store is unreachable. */
const NO_SETTINGS_RETRY_MS = 500;
const BODY_TIMEOUT_MS = 30_000;
/** Upstreams repeat the id, and an answer whose head is too large for its reader looks like a failure. */
const MAX_REQUEST_ID_LENGTH = 1_024;

export interface CallerHandlerOptions {
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  memory: MemoryBudget;
  meter: UsageMeter;
  relay: AdmittedRelay;
  relayStream: StreamRelay;
  batches: BatchHandlers;
  readSettings: () => EffectiveSettings | null;
  departure: Pick<Departure, 'canFinish' | 'onLate' | 'onEnd'>;
}

/** Serves callers: resolves route and customer, then relays the request or accepts the batch. */
const newCallerHandler = (options: CallerHandlerOptions) => {
  const { clock, log, memory, metrics, meter, relay, relayStream, batches } = options;
  const { readSettings, departure } = options;

  const refuse = (response: ServerResponse, request: CallerRequest, refusal: Refusal): void => {
    metrics.count(`requests_refused_${refusal.code.replaceAll('-', '_')}`);
    sendRefusal(response, request.requestId, refusal);
  };

  const send = newAnswerSender({ clock, log });

  const refusalOf = (fault: BodyFault): Refusal => {
    if (fault === 'no-memory') return notRun(fault, memory.retryAfterMs());
    return rejected(fault === 'too-large' ? 413 : 408, fault);
  };

  const logRefusal = (request: CallerRequest, refusal: Refusal, version?: number): void =>
    log.info('request.refused', {
      requestId: request.requestId,
      hostName: request.hostName,
      settingsVersion: version ?? null,
      ...refusal,
    });

  /** Aborts the upstream request when the caller disconnects. */
  const newCallerAbortController = (response: ServerResponse): AbortController => {
    const controller = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) controller.abort('caller gone');
    });
    return controller;
  };

  const sendAnswer = async (
    response: ServerResponse,
    outcome: RelayOutcome,
    request: CallerRequest,
    deadline: number,
    controller: AbortController,
  ): Promise<void> => {
    if (response.destroyed) return;
    if (outcome.type === 'refusal') {
      refuse(response, request, outcome.refusal);
      return;
    }
    await send(response, outcome.answer, deadline, controller);
  };

  /**
   * Relays a plain request of a host that may stop meanwhile: it is refused as not run if it then waits
   * for a place too long, and answered in any case before the process ends.
   */
  const relayPlain = async (
    relayed: RelayedRequest,
    workClass: WorkClass,
    caller: CallerRequest,
    response: ServerResponse,
    { signal }: AbortController,
  ): Promise<RelayOutcome> => {
    const late = new AbortController();
    const removals = [
      departure.onLate(relayed.deadline, () => late.abort('leaving')),
      departure.onEnd(() => refuse(response, caller, uncertain('leaving', 504))),
    ];
    const waitSignal = AbortSignal.any([signal, late.signal]);
    const outcome = await relay(relayed, workClass, signal, waitSignal).finally(() =>
      removals.forEach((remove) => remove()),
    );
    const isLeft = outcome.type === 'refusal' && !outcome.hasRun && outcome.upstreams === 0;
    return isLeft && late.signal.aborted && !signal.aborted
      ? { ...outcome, refusal: leavingRefusal }
      : outcome;
  };

  const isHeadTooLarge = (
    request: HandlerRequest,
    { requestId }: CallerRequest,
    { settings }: EffectiveSettings,
  ): boolean =>
    (requestId?.length ?? 0) > MAX_REQUEST_ID_LENGTH ||
    countHeaderBytes(request) > settings.limits.maxHeaderBytes;

  const computeDeadline = (route: Route, request: CallerRequest, arrivedAt: number): number =>
    arrivedAt + Math.min(route.timeoutMs, request.timeoutMs ?? Number.POSITIVE_INFINITY);

  const relayRequest = async (
    request: CallerRequest,
    response: ServerResponse,
    effective: EffectiveSettings,
    route: Route,
    customer: string | null,
    payload: Pick<RelayedRequest, 'body' | 'answerLease' | 'deadline'>,
    arrivedAt: number,
  ): Promise<void> => {
    const service = pickService(route, Math.random());
    if (service === null) {
      refuse(response, request, notRun('no-service', NO_SETTINGS_RETRY_MS));
      return;
    }
    const relayed: RelayedRequest = {
      requestId: request.requestId ?? '',
      method: request.method,
      path: request.path,
      hostName: request.hostName,
      headers: request.headers,
      ...payload,
      customer,
      lastEventId: request.lastEventId,
      service,
      kind: route.name,
      homes: findHomes(effective, route, customer),
      isIdempotent: route.isStream ? route.isResumable : route.kind === 'idempotent',
      maxUpstreams: route.maxUpstreams,
    };
    const customerPriority = effective.customersByName.get(customer ?? '')?.priority ?? null;
    const controller = newCallerAbortController(response);
    const startedAt = clock.wallTime();
    const outcome = route.isStream
      ? await relayStream(relayed, response, controller.signal)
      : await relayPlain(
          relayed,
          findCallerClass(customerPriority, route.priority),
          request,
          response,
          controller,
        );
    const hasRun = outcome.type === 'answer' || outcome.hasRun;
    if (hasRun && customer !== null) meter.count(customer, startedAt);
    if (!response.headersSent) {
      await sendAnswer(response, outcome, request, relayed.deadline, controller);
    }
    const tookMs = clock.now() - arrivedAt;
    metrics.observe('request', tookMs);
    metrics.count(`requests_${outcome.type === 'answer' ? 'answered' : 'failed'}`);
    log.info('request.done', {
      requestId: request.requestId,
      route: route.name,
      customer,
      outcome: outcome.type === 'answer' ? outcome.answer.status : outcome.refusal.code,
      upstream: outcome.type === 'answer' ? outcome.upstream : null,
      pace: outcome.type === 'answer' ? roundPace(outcome.pace) : null,
      upstreams: outcome.upstreams,
      tookMs: Math.round(tookMs),
      isCallerGone: controller.signal.aborted,
    });
  };

  /** A body may take seconds to arrive; null if this host stops before that and can't finish in time. */
  const unlessLate = <T>(reading: Promise<T>, deadline: number): Promise<T | null> => {
    let remove = (): void => {};
    const late = new Promise<null>((resolve) => {
      remove = departure.onLate(deadline, () => resolve(null));
    });
    return Promise.race([reading, late]).finally(remove);
  };

  /** Reads the body of a request and relays it, and counts the body until the answer is sent. */
  const serveRequest = async (
    caller: CallerRequest,
    response: ServerResponse,
    effective: EffectiveSettings,
    route: Route,
    customer: string | null,
    arrivedAt: number,
    reject: (refusal: Refusal) => void,
  ): Promise<void> => {
    const { req: request } = response;
    const { maxBodyBytes } = effective.settings.limits;
    const announced = announcedBytes(request) ?? 0;
    const deadline = computeDeadline(route, caller, arrivedAt);
    if (!departure.canFinish(deadline)) {
      reject(leavingRefusal);
      return;
    }
    if (announced > maxBodyBytes) {
      reject(rejected(413, 'too-large'));
      return;
    }
    const lease = memory.reserve('requests', announced);
    if (!lease) {
      reject(notRun('no-memory', memory.retryAfterMs()));
      return;
    }
    const answerLease = memory.hold('answers', 0);
    response.once('close', () => {
      lease.release();
      answerLease.release();
    });
    const reading = readBody(request, maxBodyBytes, BODY_TIMEOUT_MS, lease);
    const body = await unlessLate(reading, deadline);
    if (body === null) reject(leavingRefusal);
    else if (!body.ok) reject(refusalOf(body.val));
    else if (!departure.canFinish(deadline)) reject(leavingRefusal);
    else {
      const payload = { body: body.val, answerLease, deadline };
      await relayRequest(caller, response, effective, route, customer, payload, arrivedAt);
    }
  };

  const serve = async (request: HandlerRequest, response: ServerResponse): Promise<void> => {
    const arrivedAt = clock.now();
    const caller = parseCallerRequest(request);
    const effective = readSettings();
    const route = effective && findRoute(effective, caller.hostName, caller.path);
    const identity = effective && route ? findCaller(effective, route, caller.key) : null;
    const version = effective?.settings.version;
    const reject = (refusal: Refusal): void => {
      logRefusal(caller, refusal, version);
      refuse(response, caller, refusal);
    };
    const isBatch = route?.kind === 'batch' && caller.method === 'POST';
    if (!effective) reject(notRun('no-settings', NO_SETTINGS_RETRY_MS));
    else if (isHeadTooLarge(request, caller, effective)) {
      reject(rejected(431, 'headers-too-large'));
    } else if (!route) reject(rejected(404, 'no-route'));
    else if (!identity) reject(rejected(401, 'unknown-key'));
    else {
      const customer = identity.type === 'customer' ? identity.customer.name : null;
      if (isBatch) await batches.accept(caller, response, effective, route, customer);
      else await serveRequest(caller, response, effective, route, customer, arrivedAt, reject);
    }
  };

  return { serve };
};

export type CallerHandler = ReturnType<typeof newCallerHandler>;

export default newCallerHandler;

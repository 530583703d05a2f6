import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import { sendJson } from '@cyclamengate/common/handler';
import type { HandlerRequest } from '@cyclamengate/common/handler';
import { BODY_TIMEOUT_MS, MAX_BODY_BYTES } from '@cyclamengate/common/limits';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import parseJson from '@cyclamengate/common/parseJson';
import { readBody } from '@cyclamengate/common/readBody';
import { formatProblems, restore } from '@cyclamengate/common/restore';
import type { Daemon } from '@cyclamengate/coordination/newDaemon';
import type { SystemRecord } from '@cyclamengate/coordination/systemRecord';
import type { SampleReader } from '@cyclamengate/rollouts/newSampleReader';
import type { StepRunner } from '@cyclamengate/rollouts/newStepRunner';
import { stepRequestSchema } from '@cyclamengate/rollouts/stepRequest';
import type { StepRequest } from '@cyclamengate/rollouts/stepRequest';
import authenticate from '@cyclamengate/routing/authenticate';
import type { TrainerSettings } from '@cyclamengate/settings/trainerSettings';
import { z } from 'zod';

const WRITE_TIMEOUT_MS = 5_000;
const RETRY_AFTER_SECONDS = '2';
const MAX_REMEMBERED_STEPS = 64;

const weightsSchema = z.strictObject({ version: z.int().min(1) });
const cursorSchema = z.coerce.number().int().min(0);

/** Why a trainer's request is refused: an HTTP status, and a message for the trainer's log. */
interface TrainerFault {
  status: number;
  message: string;
}

interface AuthenticatedTrainer {
  trainer: TrainerSettings;
  /** Kept in memory while the step runs, to authenticate the requests for its samples. */
  key: string;
}

/** A step as its trainer requested it. Its prompts and key are not written to any log. */
interface RequestedStep extends AuthenticatedTrainer {
  request: StepRequest;
  /** On the monotonic clock. */
  deadline: number;
}

const newFault = (status: number, message: string): Result<never, TrainerFault> =>
  Err({ status, message });

const readKey = (headers: IncomingHttpHeaders): string =>
  (headers.authorization ?? '').replace(/^Bearer /, '');

/** Creates the request handlers for trainers. */
const newTrainerHandlers = (daemon: Daemon, runner: StepRunner, readSamples: SampleReader) => {
  const { clock, runtime, tasks, log } = daemon;
  const runningSteps = new Set<string>();
  const requestedSteps = new Map<string, RequestedStep>();
  const formatStepName = (trainer: string, step: number): string => `${trainer} ${step}`;

  const authenticateTrainer = (
    request: HandlerRequest,
  ): Result<AuthenticatedTrainer, TrainerFault> => {
    const settings = runtime.effective();
    const caller = authenticate(request.headers, settings);
    if (!caller.ok) return newFault(401, caller.val);
    const trainer = settings.trainers.get(String(request.params.trainer));
    if (!trainer || trainer.customer !== caller.val.customer.id) {
      return newFault(404, 'this key has no such trainer');
    }
    return Ok({ trainer, key: readKey(request.headers) });
  };

  const readInput = async <T>(
    request: HandlerRequest,
    schema: z.ZodType<T>,
  ): Promise<Result<T, TrainerFault>> => {
    const body = await readBody(request, MAX_BODY_BYTES, BODY_TIMEOUT_MS);
    const raw = body.ok ? parseJson(body.val.toString()) : null;
    if (!raw?.ok) return newFault(400, 'the body is not JSON within its limits');
    const restored = restore(schema, raw.val);
    return restored.ok ? restored : newFault(400, formatProblems(restored.val));
  };

  const refuse = (response: ServerResponse, { status, message }: TrainerFault): void =>
    sendJson(
      response,
      status,
      { error: { message } },
      status === 503 ? { 'retry-after': RETRY_AFTER_SECONDS } : {},
    );

  /**
   * Writes a record on a trainer's behalf. Repeated requests do not fail: the log accepts a step that
   * is opened again with the same shape, and `publishWeights` a version that is already in force.
   */
  const writeRecord = async (record: SystemRecord): Promise<Result<void, TrainerFault>> => {
    const decision = await runtime.writer.write(record, clock.now() + WRITE_TIMEOUT_MS);
    if (!decision.ok) return newFault(503, `the log did not confirm it: ${decision.val}`);
    return decision.val.accepted ? Ok(undefined) : newFault(409, decision.val.reason);
  };

  const publishWeights = async (
    request: HandlerRequest,
    response: ServerResponse,
  ): Promise<void> => {
    const authenticated = authenticateTrainer(request);
    if (!authenticated.ok) return refuse(response, authenticated.val);
    const input = await readInput(request, weightsSchema);
    if (!input.ok) return refuse(response, input.val);
    const trainer = authenticated.val.trainer.id;
    const { version } = input.val;
    const written = await writeRecord({ type: 'weights-published', trainer, version });
    const isInForce = runtime.follower.state().trainers[trainer]?.version === version;
    if (!written.ok && !isInForce) return refuse(response, written.val);
    return sendJson(response, 200, { trainer, version });
  };

  /** Starts filling a step, unless it is being filled already or its deadline has passed. */
  const startRunner = (name: string): void => {
    const requested = requestedSteps.get(name);
    if (!requested || runningSteps.has(name) || clock.now() >= requested.deadline) return;
    const { trainer, key, request, deadline } = requested;
    runningSteps.add(name);
    tasks.start(`step ${name}`, async (signal) => {
      await runner.run(trainer, key, request, deadline, signal);
      runningSteps.delete(name);
      log.info({ event: 'step-ended', trainer: trainer.id, step: request.step });
    });
  };

  const rememberStep = (name: string, requested: RequestedStep): void => {
    requestedSteps.delete(name);
    requestedSteps.set(name, requested);
    const [oldest] = requestedSteps.keys();
    if (requestedSteps.size > MAX_REMEMBERED_STEPS && oldest) requestedSteps.delete(oldest);
  };

  const openStep = async (request: HandlerRequest, response: ServerResponse): Promise<void> => {
    const authenticated = authenticateTrainer(request);
    if (!authenticated.ok) return refuse(response, authenticated.val);
    const input = await readInput(request, stepRequestSchema);
    if (!input.ok) return refuse(response, input.val);
    const { step, groupSize, prompts } = input.val;
    const trainer = authenticated.val.trainer.id;
    const groups = prompts.length;
    const written = await writeRecord({ type: 'step-opened', trainer, step, groups, groupSize });
    if (!written.ok) return refuse(response, written.val);
    const name = formatStepName(trainer, step);
    const deadline = clock.now() + input.val.timeoutMs;
    rememberStep(name, { ...authenticated.val, request: input.val, deadline });
    startRunner(name);
    return sendJson(response, 202, { trainer, step, slots: groups * groupSize });
  };

  const sendSamples = async (request: HandlerRequest, response: ServerResponse): Promise<void> => {
    const authenticated = authenticateTrainer(request);
    if (!authenticated.ok) return refuse(response, authenticated.val);
    const step = cursorSchema.safeParse(request.params.step);
    const cursor = cursorSchema.safeParse((request.query as { cursor?: string }).cursor ?? 0);
    if (!step.success || !cursor.success) {
      return refuse(response, { status: 400, message: 'step and cursor: allowed: whole numbers' });
    }
    const page = await readSamples(authenticated.val.trainer, step.data, cursor.data);
    if (!page.ok) {
      const status = { 'unknown-step': 404, 'not-fixed': 503, lost: 410 }[page.val];
      return refuse(response, { status, message: page.val });
    }
    const samples = page.val.payloads.map((payload) => JSON.parse(payload) as unknown);
    const { next, isComplete } = page.val;
    const name = formatStepName(authenticated.val.trainer.id, step.data);
    // The slots of stale or lost samples were released and have to be filled again.
    if (!isComplete) startRunner(name);
    return sendJson(response, 200, {
      samples,
      next,
      isComplete,
      isFilling: runningSteps.has(name),
    });
  };

  return { publishWeights, openStep, sendSamples };
};

export default newTrainerHandlers;

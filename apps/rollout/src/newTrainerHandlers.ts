import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import { sendJson } from '@cyclamengate/common/handler';
import type { HandlerRequest } from '@cyclamengate/common/handler';
import { BODY_TIMEOUT_MS, LARGEST_BODY_BYTES } from '@cyclamengate/common/limits';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { parseJson, readBody } from '@cyclamengate/common/readBody';
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
const STEPS_REMEMBERED = 64;

const weightsSchema = z.strictObject({ version: z.int().min(1) });
const cursorSchema = z.coerce.number().int().min(0);

/** Why a trainer's request is refused: status, and a message for whoever reads the trainer's log. */
interface TrainerFault {
  status: number;
  message: string;
}

interface Presented {
  trainer: TrainerSettings;
  /** Kept in memory while the step runs, to have its samples made in the trainer's name. */
  key: string;
}

/** A step as its trainer asked for it; its prompts and key are in no log. */
interface WantedStep extends Presented {
  request: StepRequest;
  /** On the monotonic clock. */
  deadline: number;
}

const fault = (status: number, message: string): Result<never, TrainerFault> =>
  Err({ status, message });

const keyOf = (headers: IncomingHttpHeaders): string =>
  (headers.authorization ?? '').replace(/^Bearer /, '');

/** What trainers ask of a rollout process. */
const newTrainerHandlers = (daemon: Daemon, runner: StepRunner, readSamples: SampleReader) => {
  const { clock, runtime, tasks, log } = daemon;
  const running = new Set<string>();
  const wantedSteps = new Map<string, WantedStep>();
  const nameOf = (trainer: string, step: number): string => `${trainer} ${step}`;

  const present = (request: HandlerRequest): Result<Presented, TrainerFault> => {
    const settings = runtime.effective();
    const caller = authenticate(request.headers, settings);
    if (!caller.ok) return fault(401, caller.val);
    const trainer = settings.trainers.get(String(request.params.trainer));
    if (!trainer || trainer.customer !== caller.val.customer.id) {
      return fault(404, 'this key has no such trainer');
    }
    return Ok({ trainer, key: keyOf(request.headers) });
  };

  const readInput = async <T>(
    request: HandlerRequest,
    schema: z.ZodType<T>,
  ): Promise<Result<T, TrainerFault>> => {
    const body = await readBody(request, LARGEST_BODY_BYTES, BODY_TIMEOUT_MS);
    const raw = body.ok ? parseJson(body.val.toString()) : null;
    if (!raw?.ok) return fault(400, 'the body is not JSON within its limits');
    const restored = restore(schema, raw.val);
    return restored.ok ? restored : fault(400, formatProblems(restored.val));
  };

  const refuse = (response: ServerResponse, { status, message }: TrainerFault): void =>
    sendJson(
      response,
      status,
      { error: { message } },
      status === 503 ? { 'retry-after': RETRY_AFTER_SECONDS } : {},
    );

  /** Writes a record on a trainer's behalf; a repetition of what stands already is no fault. */
  const write = async (record: SystemRecord): Promise<Result<void, TrainerFault>> => {
    const decision = await runtime.writer.write(record, clock.now() + WRITE_TIMEOUT_MS);
    if (!decision.ok) return fault(503, `the log did not confirm it: ${decision.val}`);
    return decision.val.accepted ? Ok(undefined) : fault(409, decision.val.reason);
  };

  const publishWeights = async (
    request: HandlerRequest,
    response: ServerResponse,
  ): Promise<void> => {
    const presented = present(request);
    if (!presented.ok) return refuse(response, presented.val);
    const input = await readInput(request, weightsSchema);
    if (!input.ok) return refuse(response, input.val);
    const trainer = presented.val.trainer.id;
    const { version } = input.val;
    const written = await write({ type: 'weights-published', trainer, version });
    const isInForce = runtime.follower.state().trainers[trainer]?.version === version;
    if (!written.ok && !isInForce) return refuse(response, written.val);
    return sendJson(response, 200, { trainer, version });
  };

  /** Fills a step, unless that goes on already or the trainer's time for it is over. */
  const startRunner = (name: string): void => {
    const wanted = wantedSteps.get(name);
    if (!wanted || running.has(name) || clock.now() >= wanted.deadline) return;
    const { trainer, key, request, deadline } = wanted;
    running.add(name);
    tasks.start(`step ${name}`, async (signal) => {
      await runner.run(trainer, key, request, deadline, signal);
      running.delete(name);
      log.info({ event: 'step-ended', trainer: trainer.id, step: request.step });
    });
  };

  const remember = (name: string, wanted: WantedStep): void => {
    wantedSteps.delete(name);
    wantedSteps.set(name, wanted);
    const [oldest] = wantedSteps.keys();
    if (wantedSteps.size > STEPS_REMEMBERED && oldest) wantedSteps.delete(oldest);
  };

  const openStep = async (request: HandlerRequest, response: ServerResponse): Promise<void> => {
    const presented = present(request);
    if (!presented.ok) return refuse(response, presented.val);
    const input = await readInput(request, stepRequestSchema);
    if (!input.ok) return refuse(response, input.val);
    const { step, groupSize, prompts } = input.val;
    const trainer = presented.val.trainer.id;
    const groups = prompts.length;
    const written = await write({ type: 'step-opened', trainer, step, groups, groupSize });
    if (!written.ok) return refuse(response, written.val);
    const name = nameOf(trainer, step);
    const deadline = clock.now() + input.val.timeoutMs;
    remember(name, { ...presented.val, request: input.val, deadline });
    startRunner(name);
    return sendJson(response, 202, { trainer, step, slots: groups * groupSize });
  };

  const sendSamples = async (request: HandlerRequest, response: ServerResponse): Promise<void> => {
    const presented = present(request);
    if (!presented.ok) return refuse(response, presented.val);
    const step = cursorSchema.safeParse(request.params.step);
    const cursor = cursorSchema.safeParse((request.query as { cursor?: string }).cursor ?? 0);
    if (!step.success || !cursor.success) {
      return refuse(response, { status: 400, message: 'step and cursor: allowed: whole numbers' });
    }
    const page = await readSamples(presented.val.trainer, step.data, cursor.data);
    if (!page.ok) {
      const status = { 'unknown-step': 404, 'not-fixed': 503, lost: 410 }[page.val];
      return refuse(response, { status, message: page.val });
    }
    const samples = page.val.payloads.map((payload) => JSON.parse(payload) as unknown);
    const { next, isComplete } = page.val;
    const name = nameOf(presented.val.trainer.id, step.data);
    // Samples that aged out or were lost have left their slots open again.
    if (!isComplete) startRunner(name);
    return sendJson(response, 200, { samples, next, isComplete, isFilling: running.has(name) });
  };

  return { publishWeights, openStep, sendSamples };
};

export default newTrainerHandlers;

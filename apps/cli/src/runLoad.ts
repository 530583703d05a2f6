import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import type { LoadPlan } from './loadPlan.js';
import newArrivals from './newArrivals.js';
import type { Arrival } from './newArrivals.js';

const MAX_CONNECTIONS = 2_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const DONE_LINE = 'data: [DONE]';
const LOOPBACK_URL = /^http:\/\/(127\.\d+\.\d+\.\d+|\[::1\]):\d+$/;

/** Request counts and latencies of one customer, or of all customers. */
export interface LoadFigures {
  customer: string;
  sent: number;
  whole: number;
  refused: number;
  broken: number;
  /** Percentiles in milliseconds from the time a request was due, not from when it was sent. */
  firstTokenMs: Record<string, number>;
  wholeMs: Record<string, number>;
}

export interface LoadResult {
  seconds: number;
  customers: LoadFigures[];
  all: LoadFigures;
  tokensPerSecond: number;
  requestsPerSecond: number;
}

interface Recorder {
  sent: number;
  whole: number;
  refused: number;
  broken: number;
  firstToken: Histogram;
  wholeAnswer: Histogram;
}

const PERCENTILES = [50, 90, 95, 99, 99.9, 100];

const newHistogram = (): Histogram => build({ numberOfSignificantValueDigits: 3 });

const newRecorder = (): Recorder => ({
  sent: 0,
  whole: 0,
  refused: 0,
  broken: 0,
  firstToken: newHistogram(),
  wholeAnswer: newHistogram(),
});

const readPercentiles = (histogram: Histogram): Record<string, number> =>
  Object.fromEntries(
    PERCENTILES.map((percentile) => [
      `p${percentile}`,
      histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND,
    ]),
  );

const newFigures = (customer: string, recorder: Recorder): LoadFigures => ({
  customer,
  sent: recorder.sent,
  whole: recorder.whole,
  refused: recorder.refused,
  broken: recorder.broken,
  firstTokenMs: readPercentiles(recorder.firstToken),
  wholeMs: readPercentiles(recorder.wholeAnswer),
});

const record = (histogram: Histogram, ms: number): void =>
  histogram.recordValue(Math.max(1, Math.round(ms * MICROSECONDS_PER_MILLISECOND)));

/**
 * Sends the load of a plan as an open loop: every request is sent when it is due, however many are
 * still in flight, and its latency counts from then. Otherwise a slow system would reduce its own load
 * and the measured latencies would be too low.
 */
const runLoad = async (
  targets: readonly string[],
  plan: LoadPlan,
): Promise<LoadResult | string> => {
  const notLoopback = targets.find((target) => !LOOPBACK_URL.test(target));
  if (notLoopback) return `${notLoopback}: load goes to loopback addresses alone`;
  const dispatcher = new Agent({ connections: MAX_CONNECTIONS, pipelining: 1 });
  const recorders = new Map(plan.customers.map(({ id }) => [id, newRecorder()]));
  const all = newRecorder();
  const keys = new Map(plan.customers.map(({ id, key }) => [id, key ?? `${plan.keyPrefix}${id}`]));
  const startedAt = performance.now();
  let tokens = 0;

  const send = async ({ atMs, customer, prefix }: Arrival, index: number): Promise<void> => {
    const isMeasured = atMs >= plan.warmupSeconds * 1_000;
    const customerRecorder = recorders.get(customer);
    const activeRecorders = isMeasured && customerRecorder ? [customerRecorder, all] : [];
    const dueAt = startedAt + atMs;
    const count = (outcome: 'sent' | 'whole' | 'refused' | 'broken'): void =>
      activeRecorders.forEach((recorder) => {
        recorder[outcome] += 1;
      });
    count('sent');
    try {
      const answer = await request(`${targets[index % targets.length]}/v1/completions`, {
        method: 'POST',
        dispatcher,
        headers: {
          authorization: `Bearer ${keys.get(customer)}`,
          'content-type': 'application/json',
          'x-timeout-ms': String(plan.timeoutMs),
        },
        body: JSON.stringify({
          model: plan.model,
          prompt: `prefix ${prefix} `.repeat(6),
          max_tokens: plan.maxTokens,
          stream: true,
        }),
      });
      if (answer.statusCode !== 200) {
        await answer.body.dump();
        count('refused');
        return;
      }
      let text = '';
      for await (const chunk of answer.body) {
        if (text === '')
          activeRecorders.forEach(({ firstToken }) =>
            record(firstToken, performance.now() - dueAt),
          );
        text += String(chunk);
      }
      const isComplete = text.includes(DONE_LINE);
      count(isComplete ? 'whole' : 'broken');
      if (isMeasured) tokens += text.split('"finish_reason":null').length - 1;
      if (isComplete)
        activeRecorders.forEach(({ wholeAnswer }) =>
          record(wholeAnswer, performance.now() - dueAt),
        );
    } catch {
      count('broken');
    }
  };

  const waitUntil = (dueMs: number): Promise<void> =>
    new Promise((resolve) => {
      setTimeout(resolve, Math.max(0, startedAt + dueMs - performance.now()));
    });

  const pendingRequests: Promise<void>[] = [];
  for (const [index, arrival] of newArrivals(plan).entries()) {
    if (startedAt + arrival.atMs > performance.now() + 1) await waitUntil(arrival.atMs);
    pendingRequests.push(send(arrival, index));
  }
  await Promise.all(pendingRequests);
  await dispatcher.destroy();
  const measuredSeconds = plan.seconds - plan.warmupSeconds;
  return {
    seconds: measuredSeconds,
    customers: [...recorders].map(([customer, recorder]) => newFigures(customer, recorder)),
    all: newFigures('all', all),
    tokensPerSecond: tokens / measuredSeconds,
    requestsPerSecond: all.whole / measuredSeconds,
  };
};

export default runLoad;

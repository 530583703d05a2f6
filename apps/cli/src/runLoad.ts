import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import type { LoadPlan } from './loadPlan.js';
import newArrivals from './newArrivals.js';
import type { Arrival } from './newArrivals.js';

const MOST_CONNECTIONS = 2_000;
const MICROSECONDS = 1_000;
const DONE = 'data: [DONE]';
const LOOPBACK = /^http:\/\/(127\.\d+\.\d+\.\d+|\[::1\]):\d+$/;

/** What was seen of one customer, or of all. */
export interface LoadFigures {
  customer: string;
  sent: number;
  whole: number;
  refused: number;
  broken: number;
  /** Milliseconds from the moment a request was due, not from when it could be sent. */
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

const percentilesOf = (histogram: Histogram): Record<string, number> =>
  Object.fromEntries(
    PERCENTILES.map((percentile) => [
      `p${percentile}`,
      histogram.getValueAtPercentile(percentile) / MICROSECONDS,
    ]),
  );

const figuresOf = (customer: string, recorder: Recorder): LoadFigures => ({
  customer,
  sent: recorder.sent,
  whole: recorder.whole,
  refused: recorder.refused,
  broken: recorder.broken,
  firstTokenMs: percentilesOf(recorder.firstToken),
  wholeMs: percentilesOf(recorder.wholeAnswer),
});

const record = (histogram: Histogram, ms: number): void =>
  histogram.recordValue(Math.max(1, Math.round(ms * MICROSECONDS)));

/**
 * Sends a plan's load, open loop: every request leaves when it is due, however many are still under
 * way, and its time counts from then. A slow system can't slow the load down and look better for it.
 */
const runLoad = async (
  targets: readonly string[],
  plan: LoadPlan,
): Promise<LoadResult | string> => {
  const outside = targets.find((target) => !LOOPBACK.test(target));
  if (outside) return `${outside}: load goes to loopback addresses alone`;
  const dispatcher = new Agent({ connections: MOST_CONNECTIONS, pipelining: 1 });
  const recorders = new Map(plan.customers.map(({ id }) => [id, newRecorder()]));
  const all = newRecorder();
  const keys = new Map(plan.customers.map(({ id, key }) => [id, key ?? `${plan.keyPrefix}${id}`]));
  const startedAt = performance.now();
  let tokens = 0;

  const send = async ({ atMs, customer, prefix }: Arrival, index: number): Promise<void> => {
    const isMeasured = atMs >= plan.warmupSeconds * 1_000;
    const own = recorders.get(customer);
    const into = isMeasured && own ? [own, all] : [];
    const dueAt = startedAt + atMs;
    const count = (what: 'sent' | 'whole' | 'refused' | 'broken'): void =>
      into.forEach((recorder) => {
        recorder[what] += 1;
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
          into.forEach(({ firstToken }) => record(firstToken, performance.now() - dueAt));
        text += String(chunk);
      }
      const isWhole = text.includes(DONE);
      count(isWhole ? 'whole' : 'broken');
      if (isMeasured) tokens += text.split('"finish_reason":null').length - 1;
      if (isWhole)
        into.forEach(({ wholeAnswer }) => record(wholeAnswer, performance.now() - dueAt));
    } catch {
      count('broken');
    }
  };

  const waitUntil = (dueMs: number): Promise<void> =>
    new Promise((resolve) => {
      setTimeout(resolve, Math.max(0, startedAt + dueMs - performance.now()));
    });

  const sending: Promise<void>[] = [];
  for (const [index, arrival] of newArrivals(plan).entries()) {
    if (startedAt + arrival.atMs > performance.now() + 1) await waitUntil(arrival.atMs);
    sending.push(send(arrival, index));
  }
  await Promise.all(sending);
  await dispatcher.destroy();
  const seconds = plan.seconds - plan.warmupSeconds;
  return {
    seconds,
    customers: [...recorders].map(([customer, recorder]) => figuresOf(customer, recorder)),
    all: figuresOf('all', all),
    tokensPerSecond: tokens / seconds,
    requestsPerSecond: all.whole / seconds,
  };
};

export default runLoad;

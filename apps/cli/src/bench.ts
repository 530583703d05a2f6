import { writeFile } from 'node:fs/promises';
import readYamlFile from '@cyclamengate/settings/readYamlFile';
import { EXIT_MISUSED, EXIT_OK, newFailure } from './commandOutcome.js';
import type { CommandOutcome } from './commandOutcome.js';
import { loadPlanSchema } from './loadPlan.js';
import plotFigures from './plotFigures.js';
import runLoad from './runLoad.js';
import type { LoadFigures } from './runLoad.js';

export interface BenchOptions {
  file: string;
  targets: string[];
  plot?: string | undefined;
}

const COLUMN_TITLES = [
  'customer',
  'sent',
  'whole',
  'refused',
  'broken',
  'first p50',
  'p99',
  'whole p50',
  'p99',
];
const COLUMN_WIDTH = 10;

const formatLine = ({
  customer,
  sent,
  whole,
  refused,
  broken,
  firstTokenMs,
  wholeMs,
}: LoadFigures) =>
  [
    customer.padEnd(20),
    ...[sent, whole, refused, broken].map((count) => String(count).padStart(COLUMN_WIDTH)),
    ...[firstTokenMs.p50, firstTokenMs.p99, wholeMs.p50, wholeMs.p99].map((ms) =>
      (ms ?? 0).toFixed(1).padStart(COLUMN_WIDTH),
    ),
  ].join('');

/** Sends the load of a plan to entries and shows counts and latencies (ms) by customer. */
const bench = async ({ file, targets, plot }: BenchOptions): Promise<CommandOutcome> => {
  const plan = await readYamlFile(file, loadPlanSchema);
  if (!plan.ok) return newFailure(plan.val, EXIT_MISUSED);
  const result = await runLoad(targets, plan.val);
  if (typeof result === 'string') return newFailure(result, EXIT_MISUSED);
  if (plot) await writeFile(plot, plotFigures(file, [...result.customers, result.all]));
  const header = COLUMN_TITLES.map((title, index) =>
    index === 0 ? title.padEnd(20) : title.padStart(COLUMN_WIDTH),
  ).join('');
  const text = [
    header,
    ...[...result.customers, result.all].map(formatLine),
    `${result.requestsPerSecond.toFixed(1)} whole answers/s, ${result.tokensPerSecond.toFixed(0)} tokens/s`,
  ].join('\n');
  return { status: EXIT_OK, text, json: result };
};

export default bench;

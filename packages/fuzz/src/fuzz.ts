import fc from 'fast-check';
import drawStoreScript from './drawStoreScript.js';
import playStoreScript from './playStoreScript.js';
import playWireScript from './playWireScript.js';
import { STORE_PARTS } from './storeScript.js';
import type { Step } from './storeScript.js';
import { drawWireScript } from './wireScript.js';

export interface FuzzOptions {
  seed: number;
  runs: number;
  /** Where a failure was found, to play its script again alone. */
  path?: string;
}

export interface FuzzResult {
  /** Number of scripts played, without those that shrink a failure. */
  runs: number;
  /** What was wrong; null if nothing was found. */
  fault: string | null;
  /** How to replay it, and the shrunk script. */
  lines: string[];
}

type Fuzzer = (options: FuzzOptions) => Promise<FuzzResult>;

const MAX_LINE_LENGTH = 600;

/** Errors that nothing in this process has handled; each of them would end a host. */
const escaped: string[] = [];
const noteEscaped = (error: unknown): void => {
  escaped.push(`escaped: ${error instanceof Error ? error.stack : String(error)}`);
};
process.on('unhandledRejection', noteEscaped);
process.on('uncaughtException', noteEscaped);

const formatStep = (step: Step): string => {
  if (step.type !== 'write') return step.type;
  const what = step.fact ? `good: ${step.fact.effects.map(([name]) => name).join(', ')}` : 'odd';
  return `${step.topic}, ${what}: ${step.bodies.map((body) => JSON.stringify(body.toString('latin1'))).join(' | ')}`;
};

/** @returns what plays drawn scripts until one fails, and shrinks that one */
const newFuzzer =
  <T>(
    part: string,
    draw: fc.Arbitrary<T>,
    playScript: (script: T) => Promise<string[]>,
    format: (script: T) => string[],
  ): Fuzzer =>
  async ({ seed, runs, path }) => {
    const play = async (script: T): Promise<string[]> => [
      ...(await playScript(script)),
      ...escaped.splice(0),
    ];
    const property = fc.asyncProperty(draw, async (script) => (await play(script)).length === 0);
    const details = await fc.check(property, { seed, numRuns: runs, ...(path && { path }) });
    const [script] = details.counterexample ?? [];
    if (!details.failed || !script) return { runs: details.numRuns, fault: null, lines: [] };
    const faults = await play(script);
    const replay = `--part ${part} --seed ${details.seed} --path ${details.counterexamplePath}`;
    const lines = [replay, ...faults, ...format(script)];
    return {
      runs: details.numRuns,
      fault: faults[0] ?? 'does not fail again',
      lines: lines.map((line) => line.slice(0, MAX_LINE_LENGTH)),
    };
  };

const newStoreFuzzer = (part: (typeof STORE_PARTS)[number]): Fuzzer =>
  newFuzzer(part, drawStoreScript(part), playStoreScript, ({ steps }) => steps.map(formatStep));

const fuzzWire = newFuzzer('wire', drawWireScript, playWireScript, (calls) =>
  calls.map((call) => JSON.stringify(call)),
);

/** By the part that they fuzz. */
const FUZZERS = new Map<string, Fuzzer>([
  ...STORE_PARTS.map((part): [string, Fuzzer] => [part, newStoreFuzzer(part)]),
  ['wire', fuzzWire],
]);

export default FUZZERS;

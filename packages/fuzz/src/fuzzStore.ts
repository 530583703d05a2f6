import fc from 'fast-check';
import drawStoreScript from './drawStoreScript.js';
import formatScript from './formatScript.js';
import newEscapedErrors from './newEscapedErrors.js';
import playStoreScript from './playStoreScript.js';
import type { StorePart, StoreScript } from './storeScript.js';

const escaped = newEscapedErrors();

export const STORE_PARTS: StorePart[] = [
  'upstreams',
  'operator',
  'crashes',
  'coordination',
  'batches',
];

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

/** Plays drawn scripts for one part of the store until one fails; that one is shrunk. */
const fuzzStore = async (
  part: StorePart,
  { seed, runs, path }: FuzzOptions,
): Promise<FuzzResult> => {
  const play = async (script: StoreScript): Promise<string[]> => [
    ...(await playStoreScript(script)),
    ...escaped.take(),
  ];
  const property = fc.asyncProperty(
    drawStoreScript(part),
    async (script) => (await play(script)).length === 0,
  );
  const details = await fc.check(property, { seed, numRuns: runs, ...(path && { path }) });
  const [script] = details.counterexample ?? [];
  if (!details.failed || !script) return { runs: details.numRuns, fault: null, lines: [] };
  const faults = await play(script);
  return {
    runs: details.numRuns,
    fault: faults[0] ?? 'does not fail again',
    lines: [
      `--part ${part} --seed ${details.seed} --path ${details.counterexamplePath}`,
      ...faults,
      ...formatScript(script),
    ],
  };
};

export default fuzzStore;

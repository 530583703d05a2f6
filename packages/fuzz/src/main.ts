import { parseArgs } from 'node:util';
import fuzzStore, { STORE_PARTS } from './fuzzStore.js';
import type { StorePart } from './storeScript.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    /** Scripts of each part. */
    runs: { type: 'string', default: '1000' },
    /** One part only; all if left out. */
    part: { type: 'string' },
    /** Where a failure was found, to play its script again alone. */
    path: { type: 'string' },
  },
});

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/** Without what was drawn, so that one fault that is found again is printed once. */
const classify = (fault: string): string => fault.replace(/["[{].*|\d+/gs, '#');

/** After a failure the rest is played from the next seed on. */
const fuzzPart = async (part: StorePart): Promise<void> => {
  const counts = new Map<string, number>();
  let played = 0;
  let seed = Number(values.seed);
  const wanted = Number(values.runs);
  while (played < wanted) {
    const { runs, fault, lines } = await fuzzStore(part, {
      seed,
      runs: wanted - played,
      path: values.path,
    });
    played += runs;
    seed += 1;
    const kind = fault && classify(fault);
    if (kind && !counts.has(kind)) print([`after ${played} scripts:`, ...lines].join('\n  '));
    if (kind) counts.set(kind, (counts.get(kind) ?? 0) + 1);
    if (values.path) break;
  }
  print(`${part}: ${played} scripts from seed ${values.seed} on, ${counts.size} kinds of faults`);
  counts.forEach((count, kind) => print(`  ${count} times: ${kind}`));
  if (counts.size > 0) process.exitCode = 1;
};

for (const part of STORE_PARTS) {
  if (!values.part || part === values.part) await fuzzPart(part);
}

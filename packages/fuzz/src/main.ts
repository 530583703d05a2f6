import { parseArgs } from 'node:util';
import FUZZERS from './fuzz.js';

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
const { part: wantedPart, path } = values;
const [firstSeed, wantedRuns] = [Number(values.seed), Number(values.runs)];

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/** Without what was drawn, so that one fault that is found again is printed once. */
const classify = (fault: string): string =>
  (fault.split('\n')[0] ?? '').replace(/["[{].*|\d+/g, '#');

for (const [part, fuzz] of [...FUZZERS].filter(([name]) => !wantedPart || name === wantedPart)) {
  const counts = new Map<string, number>();
  let played = 0;
  // After a failure the rest is played from the next seed on.
  for (let seed = firstSeed; played < wantedRuns; seed += 1) {
    const { runs, fault, lines } = await fuzz({ seed, runs: wantedRuns - played, path });
    played += path ? wantedRuns : runs;
    const kind = fault && classify(fault);
    if (kind && !counts.has(kind)) print([`after ${played} scripts:`, ...lines].join('\n  '));
    if (kind) counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  print(`${part}: ${played} scripts from seed ${firstSeed} on, ${counts.size} kinds of faults`);
  counts.forEach((count, kind) => print(`  ${count} times: ${kind}`));
  if (counts.size > 0) process.exitCode = 1;
}

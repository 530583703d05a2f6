/**
 * Runs copies of a test in parallel while other processes keep the processor busy, and keeps the hosts'
 * logs of each copy that fails: `node scripts/underLoad.js [--copies 12] [--busy 8] [--rounds 6] -- AVA-ARGUMENTS`.
 */
import { spawn } from 'node:child_process';
import { mkdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';

const AVA = fileURLToPath(new URL('../node_modules/.bin/ava', import.meta.url));
const BUSY_LOOP = 'for (;;);';

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    copies: { type: 'string', default: '12' },
    busy: { type: 'string', default: '8' },
    rounds: { type: 'string', default: '6' },
  },
});
const repeat = (number, make) => Array.from({ length: Number(number) }, (_, index) => make(index));
const logsFolder = join(tmpdir(), `underLoad-${process.pid}`);

/** @returns whether the copy passed; the logs of a failed copy are kept */
const runCopy = async (round, copy) => {
  const folder = join(logsFolder, `${round}-${copy}`);
  await mkdir(folder, { recursive: true });
  const child = spawn(AVA, ['--tap', ...positionals], {
    env: { ...process.env, TEST_LOGS_FOLDER: folder },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const output = [];
  [child.stdout, child.stderr].forEach((stream) => stream.on('data', (part) => output.push(part)));
  const status = await new Promise((resolve) => {
    child.once('exit', resolve);
  });
  if (status === 0) await rm(folder, { recursive: true });
  else await writeFile(join(folder, 'output.tap'), Buffer.concat(output));
  return status === 0;
};

const busyProcesses = repeat(values.busy, () => spawn(process.execPath, ['-e', BUSY_LOOP]));
let failed = 0;
let passed = 0;
for (let round = 0; round < Number(values.rounds); round += 1) {
  const results = await Promise.all(repeat(values.copies, (copy) => runCopy(round, copy)));
  const passedCopies = results.filter(Boolean).length;
  passed += passedCopies;
  failed += results.length - passedCopies;
  process.stdout.write(`round ${round}: ${passedCopies} of ${results.length} passed\n`);
}
busyProcesses.forEach((child) => child.kill('SIGKILL'));
if (failed > 0) process.stdout.write(`logs of failed copies: ${logsFolder}\n`);
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed > 0 ? 1 : 0;

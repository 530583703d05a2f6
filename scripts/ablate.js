/**
 * Clones the last commit and disables one mechanism in the clone, so that runs of both show the effect
 * of the mechanism. The sources are changed because the host program is bundled from them.
 *
 * node scripts/ablate.js list
 * node scripts/ablate.js NAME FOLDER
 */
import { execFile } from 'node:child_process';
import { readFile, writeFile } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';

const run = promisify(execFile);
const print = (text) => process.stdout.write(`${text}\n`);

/** By mechanism: the file, the text to replace and the text that disables the mechanism. */
const MECHANISMS = {
  hedging: [
    'packages/gateway/src/newPlainRelay.ts',
    'request.isIdempotent && !hasRun && running.size === 1 && newestCandidate !== null',
    'false as boolean',
  ],
  moves: ['packages/batches/src/newBatchRunner.ts', '    mover.moveAway();\n', ''],
  'texts written on the way': ['packages/batches/src/newBatchRunner.ts', '    saveParts();\n', ''],
  'batches kept through others': [
    'packages/batches/src/newBatchWriter.ts',
    'const peers = askPeers(record);',
    "const peers = Promise.resolve<WriteOutcome>(askPeers.length < 0 ? 'unknown' : 'not-written');",
  ],
  'batches begun in outages': [
    'packages/batches/src/newBatchWriter.ts',
    "if (record.type !== 'batch') return false;",
    "if (record.type !== 'batch' || clock.now() > 0) return false;",
  ],
  'ownership kept in outages': [
    'packages/hosts/src/newOwnership.ts',
    'if (isViewUnreliable()) {',
    'if (isViewUnreliable() && clock.now() < 0) {',
  ],
  'who is live by the view': [
    'packages/hosts/src/newMembers.ts',
    'viewTime ?? clock.now();',
    'viewTime === null ? clock.now() : clock.now();',
  ],
  'connected first': [
    'packages/engines/src/chooseUpstream.ts',
    'NEW_CONNECTION_COST = 0.1',
    'NEW_CONNECTION_COST = 0',
  ],
  'own failure domain first': [
    'packages/engines/src/chooseUpstream.ts',
    'CROSS_DOMAIN_COST = 0.1',
    'CROSS_DOMAIN_COST = 0',
  ],
  'refusals remembered': [
    'packages/batches/src/newRefusals.ts',
    'REFUSAL_BACKOFF_MS = 220',
    'REFUSAL_BACKOFF_MS = 0',
  ],
  homes: [
    'packages/engines/src/newEngineAssigner.ts',
    'const assignments = assignEngines(demands, engines);',
    'const assignments = new Map(models.map((model) => [model, new Set(entries.map(({ id }) => id))]));',
  ],
  'engines by demand': [
    'packages/engines/src/apportionEngines.ts',
    'demand: isAlike ? 1 : demand',
    'demand: 1',
  ],
  scaling: [
    'packages/engines/src/planScale.ts',
    'Math.min(maxUpstreams, Math.max(minUpstreams, needed))',
    'Math.min(maxUpstreams, Math.max(minUpstreams, needed * 0))',
  ],
  'least time to spare first': [
    'packages/batches/src/planStarts.ts',
    'left.turn - right.turn ||\n  right.expectedTokens - left.expectedTokens',
    '0',
  ],
  'fast slots for long items': [
    'packages/batches/src/planStarts.ts',
    'if (free === 0) return { keys, held };',
    'if (free >= 0) return { keys, held };',
  ],
  'moves to faster engines': [
    'packages/batches/src/newBatchRunner.ts',
    '    mover.moveToFaster();\n',
    '',
  ],
  resting: [
    'packages/engines/src/newHealth.ts',
    'INITIAL_BACKOFF_MS = 300',
    'INITIAL_BACKOFF_MS = 0',
  ],
  'loads by thirds': [
    'packages/engines/src/findDueLoads.ts',
    'Math.floor(loadOrder.length * CONCURRENT_LOAD_FRACTION)',
    'Math.floor(loadOrder.length * CONCURRENT_LOAD_FRACTION * 0)',
  ],
  handovers: [
    'packages/batches/src/newHandoverSender.ts',
    'if (!handover) return;',
    'if (!handover || state.results.length >= 0) return;',
  ],
  'cut hosts leave': [
    'packages/batches/src/newPartitionMonitor.ts',
    '!isDone && clock.now() >= nextProbeAt',
    '!isDone && clock.now() < 0',
  ],
  'starts while the store is away': [
    'packages/batches/src/mayStartWork.ts',
    'MAX_VIEW_AGE_IN_OUTAGE_MS = 7_000',
    'MAX_VIEW_AGE_IN_OUTAGE_MS = 1_800',
  ],
  'strong hosts first': [
    'packages/hosts/src/rankHosts.ts',
    'MIN_STRONG_CORES_RATIO = 0.5',
    'MIN_STRONG_CORES_RATIO = 0',
  ],
};

const cloneWithout = async (name, folder) => {
  const [file, original, replacement] = MECHANISMS[name];
  await run('git', ['clone', '--quiet', process.cwd(), folder]);
  const source = await readFile(join(folder, file), 'utf8');
  if (!source.includes(original))
    throw new Error(`${file} no longer contains the text that "${name}" replaces`);
  await writeFile(join(folder, file), source.replace(original, replacement));
  print(`without "${name}": ${folder}`);
};

const [name, folder] = process.argv.slice(2);
if (name === 'list') Object.keys(MECHANISMS).forEach(print);
else if (name in MECHANISMS && folder) await cloneWithout(name, resolve(folder));
else {
  print('usage: node scripts/ablate.js list | NAME FOLDER');
  process.exitCode = 2;
}

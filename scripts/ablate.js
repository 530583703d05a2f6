/**
 * Makes a copy of the last commit with one mechanism switched off, so that runs of both show what the
 * mechanism is worth. The sources are changed, since the host program is bundled from them.
 *
 * node scripts/ablate.js list
 * node scripts/ablate.js NAME FOLDER
 */
import { execFile } from 'node:child_process';
import { readFile, writeFile } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';

const run = promisify(execFile);
const say = (text) => process.stdout.write(`${text}\n`);

/** By name: the file, what stands in it, and what stands there without the mechanism. */
const MECHANISMS = {
  hedging: [
    'packages/gateway/src/newPlainRelay.ts',
    'request.isIdempotent && running.size === 1 && newest !== null',
    'false as boolean',
  ],
  moves: ['packages/batches/src/newBatchRunner.ts', '    moveRunning();\n', ''],
  'texts written on the way': ['packages/batches/src/newBatchRunner.ts', '    saveParts();\n', ''],
  'batches kept through others': [
    'packages/batches/src/newBatchKeeper.ts',
    'const peers = askPeers(record);',
    "const peers = Promise.resolve<WriteOutcome>(askPeers.length < 0 ? 'unknown' : 'not-written');",
  ],
  'batches begun in outages': [
    'packages/batches/src/newBatchKeeper.ts',
    "if (record.type !== 'batch') return false;",
    "if (record.type !== 'batch' || clock.now() > 0) return false;",
  ],
  'ownership kept in outages': [
    'packages/hosts/src/newOwnership.ts',
    'if (isUnsettled()) {',
    'if (isUnsettled() && clock.now() < 0) {',
  ],
  'who is live by the view': [
    'packages/hosts/src/newMembers.ts',
    'viewAt ?? clock.now();',
    'viewAt === null ? clock.now() : clock.now();',
  ],
  'connected first': [
    'packages/engines/src/chooseUpstream.ts',
    'NEW_CONNECTION_COST = 0.1',
    'NEW_CONNECTION_COST = 0',
  ],
  'own failure domain first': [
    'packages/engines/src/chooseUpstream.ts',
    'OTHER_DOMAIN_COST = 0.1',
    'OTHER_DOMAIN_COST = 0',
  ],
  'refusals remembered': [
    'packages/batches/src/newRefusals.ts',
    'REFUSAL_BACKOFF_MS = 220',
    'REFUSAL_BACKOFF_MS = 0',
  ],
  homes: [
    'packages/engines/src/planHomes.ts',
    'Math.floor(engines.length / models.length)',
    'engines.length',
  ],
  scaling: [
    'packages/engines/src/planScale.ts',
    'Math.min(most, Math.max(least, needed))',
    'Math.min(most, Math.max(least, needed * 0))',
  ],
  'longest first': [
    'packages/batches/src/planStarts.ts',
    'right.expectedTokens - left.expectedTokens',
    '0',
  ],
  resting: ['packages/engines/src/newHealth.ts', 'FIRST_REST_MS = 300', 'FIRST_REST_MS = 0'],
  'loads by thirds': [
    'packages/engines/src/findDueLoads.ts',
    'Math.floor(turns.length * TURN_PART)',
    'Math.floor(turns.length * TURN_PART * 0)',
  ],
  handovers: [
    'packages/batches/src/newHandoverSender.ts',
    'if (!handover) return;',
    'if (!handover || state.results.length >= 0) return;',
  ],
  'cut hosts leave': [
    'packages/batches/src/newCutWatch.ts',
    '!isDone && clock.now() >= nextProbeAt',
    '!isDone && clock.now() < 0',
  ],
  'starts while the store is away': [
    'packages/batches/src/mayStartWork.ts',
    'MAX_VIEW_AGE_IN_OUTAGE_MS = 7_000',
    'MAX_VIEW_AGE_IN_OUTAGE_MS = 1_800',
  ],
  'strong hosts first': ['packages/hosts/src/rankHosts.ts', 'STRONG_PART = 0.5', 'STRONG_PART = 0'],
};

const copyWithout = async (name, folder) => {
  const [file, present, absent] = MECHANISMS[name];
  await run('git', ['clone', '--quiet', process.cwd(), folder]);
  const source = await readFile(join(folder, file), 'utf8');
  if (!source.includes(present)) throw new Error(`${file} no longer has what "${name}" changes`);
  await writeFile(join(folder, file), source.replace(present, absent));
  say(`without "${name}": ${folder}`);
};

const [name, folder] = process.argv.slice(2);
if (name === 'list') Object.keys(MECHANISMS).forEach(say);
else if (name in MECHANISMS && folder) await copyWithout(name, resolve(folder));
else {
  say('usage: node scripts/ablate.js list | NAME FOLDER');
  process.exitCode = 2;
}

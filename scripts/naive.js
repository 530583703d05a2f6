/**
 * Shows that the failure tests detect naive implementations: patches each naive variant in turn into
 * the built files, runs the test that must fail, and restores the file. Writes the outcomes to
 * docs/measurements/naive.json. Needs a build, and no other process may use this folder meanwhile.
 *
 * node scripts/naive.js [part of a variant's name]
 */
import { spawn } from 'node:child_process';
import { mkdir, readFile, writeFile } from 'node:fs/promises';

const OUTPUT = 'docs/measurements';
const print = (text) => process.stdout.write(`${text}\n`);

/** Name, built file, original text, replacement, and the folder and title of the test that must fail. */
const VARIANTS = [
  [
    'the last writer of settings wins',
    'packages/settings/dist/src/applySettingsChange.js',
    'if (!stale)',
    'if (true)',
    'packages/settings',
    '*two racing changes*',
  ],
  [
    'every lease claim is accepted',
    'packages/coordination/dist/src/applyLease.js',
    'if (current === record.basedOn)',
    'if (true)',
    'packages/coordination',
    '*claim that is appended late*',
  ],
  [
    'a lease holder does not check its deadline',
    'packages/coordination/dist/src/newLease.js',
    'held && held.deadline - neededMs > clock.now()',
    'held',
    'packages/coordination',
    '*suspended beyond its term*',
  ],
  [
    'a lease is claimed before its term has ended',
    'packages/coordination/dist/src/newLease.js',
    'readAt + LEASE_TERM_MS + LEASE_MARGIN_MS + claimDelayMs()',
    'readAt',
    'packages/coordination',
    '*never two holders*',
  ],
  [
    'a reader continues past missing records',
    'packages/coordination/dist/src/newFollower.js',
    'offset === fold.state().offset + 1',
    'offset > fold.state().offset',
    'packages/coordination',
    '*start from any checkpoint*',
  ],
  [
    'an empty page counts as up to date',
    'packages/coordination/dist/src/followLog.js',
    'behindSince = null;\n        avoid(source);',
    'behindSince = null;',
    'packages/coordination',
    '*switches away from a relay*',
  ],
  [
    'usage is counted as often as it is written',
    'packages/coordination/dist/src/applyUsage.js',
    'if (delta.sequence <= lastSequence)',
    'if (false)',
    'packages/usage',
    '*on its behalf by a peer is counted once*',
  ],
  [
    'usage is not replicated',
    'packages/usage/dist/src/newMeter.js',
    'await copy([...sealed.values()]);',
    '',
    'packages/usage',
    '*killed host loses no usage*',
  ],
  [
    'late usage is reported only with later usage',
    'packages/usage/dist/src/reportUsage.js',
    'Object.keys(late).length > 0 ? lastClosableWindow() : undefined',
    'undefined',
    'packages/usage',
    '*no other usage follows*',
  ],
  [
    'every finished sample is delivered',
    'packages/coordination/dist/src/applySample.js',
    "if (slot.sample)\n        return rejected('the slot is bound already');",
    '',
    'packages/rollouts',
    '*bind each slot once*',
  ],
  [
    'samples are checked for staleness only by the host',
    'packages/coordination/dist/src/applySample.js',
    'if (!isAllFresh)',
    'if (false)',
    'packages/rollouts',
    '*old view*',
  ],
  [
    'bound samples are not checked again',
    'packages/rollouts/dist/src/newSampleReader.js',
    'await releaseStaleAndLost(trainer, step);',
    '',
    'packages/rollouts',
    '*lost both copies*',
  ],
  [
    'stragglers are not covered by extra copies',
    'packages/rollouts/dist/src/newStepRunner.js',
    'startLateCopies(unbound, slots);',
    '',
    'packages/rollouts',
    '*stragglers are covered*',
  ],
  [
    'samples are not replicated',
    'packages/rollouts/dist/src/newPayloadCopies.js',
    'const copy = await copyToOnePeer(payloadDigest, payload);',
    'const copy = null;',
    'packages/rollouts',
    '*killed process loses no bound*',
  ],
  [
    'a call runs without its claim',
    'packages/routing/dist/src/newCallClaims.js',
    'if (!decision.val.accepted)',
    'if (false)',
    'packages/routing',
    '*one idempotency key at two hosts*',
  ],
  [
    'a retried stream starts again from the first token',
    'packages/routing/dist/src/newGenerationRelay.js',
    'prefix: [...progress.tokens]',
    'prefix: []',
    'packages/routing',
    '*resumes at another upstream*',
  ],
  [
    'every refusal claims that nothing ran',
    'packages/routing/dist/src/newGenerationRelay.js',
    "return progress.mayHaveRun ? { ...refusal, outcome: 'unknown' } : refusal;",
    'return refusal;',
    'packages/routing',
    '*refusal has an unknown outcome*',
  ],
  [
    'no request is suspected of crashing upstreams',
    'packages/routing/dist/src/newGenerationRelay.js',
    "if (cause === 'crashed')",
    'if (false)',
    'packages/routing',
    '*crashing a second upstream*',
  ],
  [
    'every broken answer counts as a death',
    'packages/routing/dist/src/findFailureCause.js',
    "return !probe.ok && probe.val === 'not-sent' ? 'crashed' : 'unclear';",
    "return 'crashed';",
    'packages/routing',
    '*make no request a suspect*',
  ],
  [
    'retries have no budget',
    'packages/routing/dist/src/newRetryBudget.js',
    'if (available < 1)',
    'if (false)',
    'packages/routing',
    '*retries stop*',
  ],
  [
    'first in, first out',
    'packages/routing/dist/src/newAdmission.js',
    "policy === 'fifo' ? newFifoQueuePolicy : newFairQueuePolicy",
    'newFifoQueuePolicy',
    'packages/routing',
    '*burst of one customer*',
  ],
  [
    'a refused request stays in the queue',
    'packages/routing/dist/src/newAdmission.js',
    'queuePolicy.cancel(ticket);',
    '',
    'packages/routing',
    '*never starts afterwards*',
  ],
  [
    'the lease is not checked before each write',
    'packages/platform/dist/src/newHttpCaller.js',
    'if (!isStillHeld())',
    'if (false)',
    'packages/platform',
    '*before it is written*',
  ],
  [
    'a cancelled connection is closed instead of reset',
    'packages/platform/dist/src/newHttpCaller.js',
    'socket.resetAndDestroy()',
    'socket.end()',
    'packages/platform',
    '*resets its connection*',
  ],
  [
    'keys are checked only when a request begins',
    'apps/entry/dist/src/newOpenRequests.js',
    'controller.abort(KEY_WITHDRAWN);',
    '',
    'apps/entry',
    '*withdrawn key ends*',
  ],
  [
    'a shutdown does not wait',
    'apps/entry/dist/src/newEntry.js',
    'await openRequests.whenEmpty();',
    '',
    'apps/entry',
    '*graceful shutdown*',
  ],
  [
    'answers are not bound to requests',
    'packages/upstreams/dist/src/newHttpModelEngine.js',
    'event.val.requestId !== generation.requestId',
    'false',
    'apps/entry',
    '*crossed, truncated and stalled*',
  ],
  [
    "records are read only from the platform's log",
    'packages/coordination/dist/src/newRuntime.js',
    '[...chosen, ...seeds]',
    '[logSource]',
    'apps/control',
    '*from the platform alone*',
  ],
  [
    "checkpoints ignore the log's retention",
    'packages/coordination/dist/src/writeCheckpoints.js',
    'return (isNearRetentionLimit ||',
    'return (',
    'apps/control',
    '*new set of hosts*',
  ],
];

const runTest = (folder, match) =>
  new Promise((resolve) => {
    const child = spawn('npx', ['ava', `${folder}/dist/tests/**`, `--match=${match}`], {
      stdio: 'ignore',
    });
    child.once('exit', resolve);
  });

const wanted = process.argv[2] ?? '';
const outcomes = [];
for (const [name, file, text, replacement, folder, match] of VARIANTS.filter(([each]) =>
  each.includes(wanted),
)) {
  const built = await readFile(file, 'utf8');
  if (!built.includes(text)) throw new Error(`${file} does not contain ${text}`);
  await writeFile(file, built.replaceAll(text, replacement));
  const status = await runTest(folder, match).finally(() => writeFile(file, built));
  const isCaught = status !== 0;
  outcomes.push({ variant: name, test: match, isCaught });
  print(`${isCaught ? 'caught ' : 'MISSED '} ${name}  (${match})`);
}
// If only some variants were run, the earlier outcomes of the others are kept.
const file = `${OUTPUT}/naive.json`;
const before = JSON.parse(await readFile(file, 'utf8').catch(() => '[]'));
const kept = before.filter(({ variant }) => !outcomes.some((one) => one.variant === variant));
await mkdir(OUTPUT, { recursive: true });
await writeFile(file, `${JSON.stringify([...kept, ...outcomes], null, 2)}\n`);
process.exitCode = outcomes.every(({ isCaught }) => isCaught) ? 0 : 1;

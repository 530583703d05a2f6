import { setTimeout as sleep } from 'node:timers/promises';
import newTrainerStandin from '@cyclamengate/app-standin/newTrainerStandin';
import { keyOf } from '@cyclamengate/fakes/callers';
import newSystem from '@cyclamengate/fakes/newSystem';
import { waitUntil } from '@cyclamengate/fakes/newProcesses';
import test from 'ava';
import { request } from 'undici';

type System = Awaited<ReturnType<typeof newSystem>>;

const TRAINER = 'tone-trainer';
const MODEL = 'tone-assistant';
const PROMPTS = ['low D rings', 'bridge buzz', 'bow hair', 'varnish'];
const GROUP_SIZE = 8;

const newTraining = async (standinOptions = {}) => {
  const system = await newSystem(2, standinOptions);
  const options = { entries: system.entries.map(({ url }) => url) };
  const rollouts = [
    await system.startOne('rollout', 'rollout-1', 0, options),
    await system.startOne('rollout', 'rollout-2', 1, options),
  ];
  await system.begin();
  const trainer = newTrainerStandin({
    rollouts: rollouts.map(({ url }) => url),
    trainer: TRAINER,
    key: keyOf('workshop'),
  });
  return { system, rollouts, trainer };
};

const models = (system: System) =>
  [...system.platform.fleet.running.values()].filter(({ status }) => status.service === MODEL);

const areAllAt = (system: System, version: number): boolean =>
  models(system).length > 0 &&
  models(system).every(({ engine }) => engine.status().versions[TRAINER] === version);

const isWholeStep = (samples: { slot: number }[]): boolean =>
  samples.length === PROMPTS.length * GROUP_SIZE &&
  new Set(samples.map(({ slot }) => slot)).size === samples.length;

// A rollout process is killed in the middle of a step, with samples made, bound, copied and read.
test.serial(
  'a step is whole and without repetition when its process is killed in the middle',
  async (t) => {
    const { system, rollouts, trainer } = await newTraining({ tokenDelayMs: 15 });
    t.teardown(system.stop);
    await trainer.publishWeights(1);
    const step = trainer.runStep(1, PROMPTS, GROUP_SIZE, 40);
    await sleep(1_200);
    rollouts[0]!.child.kill('SIGKILL');
    const { samples } = await step;
    t.true(isWholeStep(samples));
  },
);

// The rollout process is stopped in the middle of a step and resumes after another has filled it.
test.serial(
  'a process that was frozen in the middle of a step adds nothing to it afterwards',
  async (t) => {
    const { system, rollouts, trainer } = await newTraining({ tokenDelayMs: 15 });
    t.teardown(system.stop);
    await trainer.publishWeights(1);
    const step = trainer.runStep(1, PROMPTS, GROUP_SIZE, 40);
    await sleep(900);
    rollouts[0]!.child.kill('SIGSTOP');
    const { samples } = await step;
    t.true(isWholeStep(samples));
    rollouts[0]!.child.kill('SIGCONT');
    await sleep(2_000);
    const again = newTrainerStandin({
      rollouts: [rollouts[0]!.url],
      trainer: TRAINER,
      key: keyOf('workshop'),
    });
    const reread = await again.runStep(1, PROMPTS, GROUP_SIZE, 40);
    t.deepEqual(reread.samples, samples);
  },
);

// Weights change while samples are being generated, so one sample is made by two versions.
test.serial('samples name the versions that their engine reported, token by token', async (t) => {
  const { system, trainer } = await newTraining({ tokenDelayMs: 40, loadMs: 100 });
  t.teardown(system.stop);
  await trainer.publishWeights(1);
  await waitUntil('version 1 everywhere', async () => areAllAt(system, 1));
  const step = trainer.runStep(1, PROMPTS, GROUP_SIZE, 80);
  await sleep(800);
  await trainer.publishWeights(2);
  const { samples } = await step;
  t.true(isWholeStep(samples));
  const mixed = samples.filter(({ segments }) => segments.length > 1);
  t.true(mixed.length > 0);
  samples.forEach(({ segments }) => {
    t.is(
      segments.reduce((sum, { tokens }) => sum + tokens, 0),
      80,
    );
    t.true(segments.every(({ version }) => version === 1 || version === 2));
  });
});

// A swap ends half way on one engine, whose version is then unknown; orders' answers get lost; one
// engine crashes. All engines must come to the new version without a person's help.
test.serial(
  'a new version reaches all engines through failed swaps, lost answers and a crash',
  async (t) => {
    const { system, trainer } = await newTraining({ loadMs: 200 });
    t.teardown(system.stop);
    await trainer.publishWeights(1);
    await waitUntil('version 1 everywhere', async () => areAllAt(system, 1));
    const [first, second] = models(system);
    const { faults } = system.platform;
    faults.set({ target: 'any-upstream', fault: 'fail-swap', isOn: true, times: 2, delayMs: 0 });
    faults.set({
      target: `${first!.status.id}-weights`,
      fault: 'lose-answer',
      isOn: true,
      times: 2,
      delayMs: 0,
    });
    await trainer.publishWeights(2);
    second!.engine.crash();
    await waitUntil(
      'version 2 everywhere',
      async () => areAllAt(system, 2) && models(system).length >= 6,
    );
    t.pass();
  },
);

// The process that rolls weights out is stopped in the middle and another one goes on. Then it
// resumes, and some engines ignore the fencing number: an old order would bring old weights back.
test.serial('a frozen rollout of weights brings no old version back when it resumes', async (t) => {
  const { system, trainer } = await newTraining({ loadMs: 400 });
  t.teardown(system.stop);
  await system.startOne('control', 'control-2', 1);
  await trainer.publishWeights(1);
  await sleep(600);
  system.control.child.kill('SIGSTOP');
  await trainer.publishWeights(2);
  await waitUntil('version 2 everywhere', async () => areAllAt(system, 2));
  system.platform.faults.set({
    target: 'any-upstream',
    fault: 'ignore-fence',
    isOn: true,
    times: -1,
    delayMs: 0,
  });
  system.control.child.kill('SIGCONT');
  await sleep(4_000);
  t.true(areAllAt(system, 2));
  models(system).forEach(({ engine }) => {
    const versions = engine.orders().map(({ version }) => version);
    t.deepEqual(
      versions,
      [...versions].sort((left, right) => left - right),
    );
  });
});

// All engines that load at once would leave nobody to serve, and overrun the weight store.
test.serial('while weights are rolled out some engines of each domain go on serving', async (t) => {
  const { system, trainer } = await newTraining({ loadMs: 600 });
  t.teardown(system.stop);
  await trainer.publishWeights(1);
  const startedAt = performance.now();
  let mostLoading = 0;
  await waitUntil('version 1 everywhere', async () => {
    const domains = new Map<string, number>();
    models(system).forEach(({ status, engine }) => {
      const isLoading = Object.keys(engine.status().loading).length > 0;
      domains.set(
        status.failureDomain,
        (domains.get(status.failureDomain) ?? 0) + Number(isLoading),
      );
    });
    mostLoading = Math.max(mostLoading, ...domains.values());
    return areAllAt(system, 1);
  });
  t.log(`all engines after ${Math.round(performance.now() - startedAt)} ms`);
  t.is(mostLoading, 1);
});

// A zone's cheap upstreams are taken back with two seconds' notice in the middle of a step.
test.serial('a reclaimed zone harms no sample of the step that ran on it', async (t) => {
  const { system, trainer } = await newTraining({ tokenDelayMs: 20 });
  t.teardown(system.stop);
  await trainer.publishWeights(1);
  const step = trainer.runStep(1, PROMPTS, GROUP_SIZE, 150);
  await sleep(1_000);
  const answer = await request(`${system.platform.url}/reclaim`, {
    method: 'POST',
    body: JSON.stringify({ failureDomain: 'nafplio-a' }),
  });
  t.is(answer.statusCode, 200);
  const { samples } = await step;
  t.true(isWholeStep(samples));
});

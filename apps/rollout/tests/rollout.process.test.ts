import { setTimeout as sleep } from 'node:timers/promises';
import newTrainerStandin from '@cyclamengate/app-standin/newTrainerStandin';
import { demoKeyOf } from '@cyclamengate/fakes/callers';
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
    await system.startDaemon('rollout', 'rollout-1', 0, options),
    await system.startDaemon('rollout', 'rollout-2', 1, options),
  ];
  await system.publishExampleAndWait();
  const trainer = newTrainerStandin({
    rollouts: rollouts.map(({ url }) => url),
    trainer: TRAINER,
    key: demoKeyOf('workshop'),
  });
  return { system, rollouts, trainer };
};

const listModelUpstreams = (system: System) =>
  [...system.platform.fleet.running.values()].filter(({ status }) => status.service === MODEL);

const areAllAtVersion = (system: System, version: number): boolean =>
  listModelUpstreams(system).length > 0 &&
  listModelUpstreams(system).every(({ engine }) => engine.status().versions[TRAINER] === version);

const isCompleteStep = (samples: { slot: number }[]): boolean =>
  samples.length === PROMPTS.length * GROUP_SIZE &&
  new Set(samples.map(({ slot }) => slot)).size === samples.length;

// Guards against missing or duplicate samples when a rollout process is killed in the middle of a step,
// while samples are generated, bound, copied and read.
test.serial(
  'a step is complete and without duplicates when its process is killed in the middle',
  async (t) => {
    const { system, rollouts, trainer } = await newTraining({ tokenDelayMs: 15 });
    t.teardown(system.stop);
    await trainer.publishWeights(1);
    const step = trainer.runStep(1, PROMPTS, GROUP_SIZE, 40);
    await sleep(1_200);
    rollouts[0]!.child.kill('SIGKILL');
    const { samples } = await step;
    t.true(isCompleteStep(samples));
  },
);

// Guards against changes to a completed step: its rollout process is suspended in the middle of the
// step and resumes after another one has filled it.
test.serial(
  'a process suspended in the middle of a step adds nothing to it afterwards',
  async (t) => {
    const { system, rollouts, trainer } = await newTraining({ tokenDelayMs: 15 });
    t.teardown(system.stop);
    await trainer.publishWeights(1);
    const step = trainer.runStep(1, PROMPTS, GROUP_SIZE, 40);
    await sleep(900);
    rollouts[0]!.child.kill('SIGSTOP');
    const { samples } = await step;
    t.true(isCompleteStep(samples));
    rollouts[0]!.child.kill('SIGCONT');
    await sleep(2_000);
    const secondTrainer = newTrainerStandin({
      rollouts: [rollouts[0]!.url],
      trainer: TRAINER,
      key: demoKeyOf('workshop'),
    });
    const reread = await secondTrainer.runStep(1, PROMPTS, GROUP_SIZE, 40);
    t.deepEqual(reread.samples, samples);
  },
);

// Guards against attributing a sample to a single version when weights change while it is generated.
test.serial('samples name the version that their engine reported for each token', async (t) => {
  const { system, trainer } = await newTraining({ tokenDelayMs: 40, loadMs: 100 });
  t.teardown(system.stop);
  await trainer.publishWeights(1);
  await waitUntil('version 1 everywhere', async () => areAllAtVersion(system, 1));
  const step = trainer.runStep(1, PROMPTS, GROUP_SIZE, 80);
  await sleep(800);
  await trainer.publishWeights(2);
  const { samples } = await step;
  t.true(isCompleteStep(samples));
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

// Guards against engines that stay on an old or unknown version until an operator intervenes: swaps
// fail midway and leave the version unknown, answers to weight orders get lost, and an engine crashes.
test.serial(
  'a new version reaches all engines through failed swaps, lost answers and a crash',
  async (t) => {
    const { system, trainer } = await newTraining({ loadMs: 200 });
    t.teardown(system.stop);
    await trainer.publishWeights(1);
    await waitUntil('version 1 everywhere', async () => areAllAtVersion(system, 1));
    const [first, second] = listModelUpstreams(system);
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
      async () => areAllAtVersion(system, 2) && listModelUpstreams(system).length >= 6,
    );
    t.pass();
  },
);

// Guards against an old order that loads old weights again: the process that rolls out weights is
// suspended, another one takes over, and the first one resumes while engines ignore fencing tokens.
test.serial('a suspended rollout of weights restores no old version on resuming', async (t) => {
  const { system, trainer } = await newTraining({ loadMs: 400 });
  t.teardown(system.stop);
  await system.startDaemon('control', 'control-2', 1);
  await trainer.publishWeights(1);
  await sleep(600);
  system.control.child.kill('SIGSTOP');
  await trainer.publishWeights(2);
  await waitUntil('version 2 everywhere', async () => areAllAtVersion(system, 2));
  system.platform.faults.set({
    target: 'any-upstream',
    fault: 'ignore-fence',
    isOn: true,
    times: -1,
    delayMs: 0,
  });
  system.control.child.kill('SIGCONT');
  await sleep(4_000);
  t.true(areAllAtVersion(system, 2));
  listModelUpstreams(system).forEach(({ engine }) => {
    const versions = engine.orders().map(({ version }) => version);
    t.deepEqual(
      versions,
      [...versions].sort((left, right) => left - right),
    );
  });
});

// Guards against loading weights on all engines at once, which leaves none to serve requests and
// overloads the weight store.
test.serial('while weights are rolled out some engines of each domain go on serving', async (t) => {
  const { system, trainer } = await newTraining({ loadMs: 600 });
  t.teardown(system.stop);
  await trainer.publishWeights(1);
  const startedAt = performance.now();
  let maxLoading = 0;
  await waitUntil('version 1 everywhere', async () => {
    const loadingByDomain = new Map<string, number>();
    listModelUpstreams(system).forEach(({ status, engine }) => {
      const isLoading = Object.keys(engine.status().loading).length > 0;
      loadingByDomain.set(
        status.failureDomain,
        (loadingByDomain.get(status.failureDomain) ?? 0) + Number(isLoading),
      );
    });
    maxLoading = Math.max(maxLoading, ...loadingByDomain.values());
    return areAllAtVersion(system, 1);
  });
  t.log(`all engines after ${Math.round(performance.now() - startedAt)} ms`);
  t.is(maxLoading, 1);
});

// Guards against losing samples when the platform reclaims the cheap upstreams of a failure domain with
// two seconds' notice in the middle of a step.
test.serial('a step loses no sample when a failure domain is reclaimed', async (t) => {
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
  t.true(isCompleteStep(samples));
});

/**
 * Runs the complete system against stand-ins of its external services and prints the results: three
 * failure domains, callers, plain services, a trainer, upstream orders and a usage report.
 *
 * node scripts/demo.js [--deployment association] [--entries 3]
 */
import { parseArgs } from 'node:util';
import { fetch } from 'undici';
import { isStreamComplete, demoKeyOf, post } from '@cyclamengate/fakes/callers';
import newProcesses, { sleep, waitUntil } from '@cyclamengate/fakes/newProcesses';

const { values } = parseArgs({
  options: {
    deployment: { type: 'string', default: 'papadakis' },
    entries: { type: 'string', default: '3' },
  },
});

const DEPLOYMENTS = {
  papadakis: {
    domains: ['nafplio-a', 'nafplio-b', 'argos-c'],
    model: 'tone-assistant',
    idempotentService: 'client-desk',
    nonIdempotentService: 'deposits',
    trainer: 'tone-trainer',
    trainerCustomer: 'workshop',
    customers: ['players', 'teachers', 'ledger', 'booking'],
  },
  association: {
    domains: ['detroit', 'cleveland', 'milwaukee'],
    model: 'parts-assistant',
    idempotentService: 'parts-lookup',
    nonIdempotentService: 'catalogue-sync',
    trainer: 'assistant-trainer',
    trainerCustomer: 'training',
    customers: ['counter-detroit', 'counter-cleveland', 'invoicing', 'repair-orders'],
  },
};

// If the reader of the output closes the pipe, the demo must still stop its processes.
process.stdout.on('error', () => undefined);

const USAGE_WINDOW_SECONDS = 5;
const REQUESTS_PER_CUSTOMER = 20;
const print = (text) => process.stdout.write(`${text}\n`);
const startedAt = performance.now();
const deployment = DEPLOYMENTS[values.deployment];
const processes = await newProcesses();

const complete = async (entry, customer, index) => {
  const body = {
    model: deployment.model,
    prompt: `A question of ${customer}, number ${index}`,
    max_tokens: 12,
    stream: true,
  };
  return isStreamComplete(await post(`${entry.url}/v1/completions`, customer, body));
};

const sendCustomerRequests = async (entries) => {
  const results = await Promise.all(
    deployment.customers.flatMap((customer) =>
      Array.from({ length: REQUESTS_PER_CUSTOMER }, (_, index) =>
        complete(entries[index % entries.length], customer, index),
      ),
    ),
  );
  const completed = results.filter(Boolean).length;
  print(
    `callers: ${completed} of ${results.length} streamed responses complete, ${deployment.customers.length} customers`,
  );
};

const callServices = async (entries) => {
  const [first, second] = entries;
  const customer = deployment.customers[0];
  const lookup = await post(
    `${first.url}/v1/services/${deployment.idempotentService}/find`,
    customer,
    {
      part: 'wing seal',
    },
  );
  print(`${deployment.idempotentService}: ${lookup.status}`);
  const callPath = `/v1/services/${deployment.nonIdempotentService}/run`;
  const headers = { 'idempotency-key': 'demo-1' };
  const answers = await Promise.all(
    [first, second ?? first].map((entry) =>
      post(`${entry.url}${callPath}`, customer, { n: 1 }, headers),
    ),
  );
  print(
    `${deployment.nonIdempotentService}, the same idempotency key at two entries at once: ${answers
      .map(({ status }) => status)
      .sort()
      .join(' and ')}`,
  );
};

const runTrainerSteps = async (rollouts) => {
  const { default: newTrainer } = await import('@cyclamengate/app-standin/newTrainerStandin');
  const trainer = newTrainer({
    rollouts: rollouts.map(({ url }) => url),
    trainer: deployment.trainer,
    key: demoKeyOf(deployment.trainerCustomer),
  });
  for (let step = 1; step <= 2; step += 1) {
    await trainer.publishWeights(step);
    const prompts = ['low D rings', 'bridge buzz', 'bow hair', 'varnish'];
    const summary = await trainer.runStep(step, prompts, 8, 16);
    const versions = new Set(
      summary.samples.flatMap(({ segments }) => segments.map(({ version }) => version)),
    );
    print(
      `step ${step}: ${summary.samples.length} samples in ${Math.round(summary.durationMs)} ms, made by versions ${[...versions].join(', ')}`,
    );
  }
};

try {
  const platform = await processes.startPlatform();
  const { domains } = deployment;
  const commonOptions = { usageWindowSeconds: USAGE_WINDOW_SECONDS };
  const entries = [];
  for (let index = 0; index < Number(values.entries); index += 1) {
    const seeds = entries.slice(0, 2).map(({ peerUrl }) => peerUrl);
    const domain = domains[index % domains.length];
    entries.push(
      await processes.startDaemon('entry', `entry-${index + 1}`, domain, platform.url, {
        ...commonOptions,
        seeds,
      }),
    );
  }
  const seeds = entries.slice(0, 2).map(({ peerUrl }) => peerUrl);
  const rollouts = [];
  const controls = [];
  for (const index of [0, 1]) {
    rollouts.push(
      await processes.startDaemon('rollout', `rollout-${index + 1}`, domains[index], platform.url, {
        ...commonOptions,
        seeds,
        entries: entries.map(({ url }) => url),
      }),
    );
    controls.push(
      await processes.startDaemon('control', `control-${index + 1}`, domains[index], platform.url, {
        ...commonOptions,
        seeds,
      }),
    );
  }
  print(
    `started: ${entries.length} entries, ${rollouts.length} rollout, ${controls.length} control, 1 platform stand-in`,
  );

  const published = await processes.run('cli', [
    'publish',
    `examples/${values.deployment}.yaml`,
    '--operator',
    'platform-admin',
    '--log',
    platform.url,
    '--peer',
    entries[0].peerUrl,
  ]);
  print(`publish: ${published.text}`);
  if (published.status !== 0) throw new Error('publishing failed');

  await waitUntil('the first response', () => complete(entries[0], deployment.customers[0], 0));
  print(`first response ${((performance.now() - startedAt) / 1000).toFixed(1)} s after the start`);
  await sendCustomerRequests(entries);
  await callServices(entries);
  await runTrainerSteps(rollouts);

  let reports = [];
  await waitUntil('a usage report', async () => {
    reports = await (await fetch(`${platform.url}/reports`)).json();
    return reports.length > 0;
  });
  const hosts = await (await fetch(`${platform.url}/hosts`)).json();
  print(`upstreams running: ${hosts.upstreams.length}`);
  print(
    `usage reports: ${reports.length}; the first names ${Object.keys(reports[0].figures).length} customers`,
  );
  const audit = await processes.run('cli', ['audit', '--log', platform.url, '--last', '6']);
  print(`audit, the last lines:\n${audit.text}`);
  await sleep(100);
} catch (error) {
  print(`demo failed: ${error.message}`);
  process.exitCode = 1;
} finally {
  await processes.stopAll();
  print('stopped');
}

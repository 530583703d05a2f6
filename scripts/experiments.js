/**
 * Measures design choices against their baselines in the same run and writes the figures to
 * docs/measurements/. Needs a build.
 *
 * node scripts/experiments.js [overhead] [throughput] [fairness] [choice] [takeover]
 */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { build } from 'hdr-histogram-js';
import { request } from 'undici';
import digest from '@cyclamengate/common/digest';
import newProcesses, { sleep, waitUntil } from '@cyclamengate/fakes/newProcesses';
import { isStreamComplete, demoKeyOf, post } from '@cyclamengate/fakes/callers';

const OUTPUT = 'docs/measurements';
const MODEL = 'tone-assistant';
const print = (text) => process.stdout.write(`${text}\n`);

/** Creates settings with one model service in one failure domain. */
const newSettings = (upstreams, slots, customers) => ({
  subtrees: {
    '/': {
      operators: [{ id: 'admin', paths: ['/'] }],
      services: [
        {
          id: MODEL,
          type: 'model',
          slotsPerUpstream: slots,
          pools: [{ failureDomain: 'argos-c', minUpstreams: upstreams, maxUpstreams: upstreams }],
        },
      ],
      customers,
      keys: customers.map(({ id }) => ({
        id: `${id}-key`,
        customer: id,
        digest: digest(demoKeyOf(id)),
      })),
    },
  },
});

/** Starts a new small system with one entry, passes it to `use` and stops it afterwards. */
const withSystem = async ({ upstreams, slots, customers, policy, platformArgs }, use) => {
  const processes = await newProcesses();
  try {
    const platform = await processes.startPlatform(['--slots', String(slots), ...platformArgs]);
    const entry = await processes.startDaemon('entry', 'entry-1', 'argos-c', platform.url, {
      policy,
    });
    await processes.startDaemon('control', 'control-1', 'argos-c', platform.url, {
      seeds: [entry.peerUrl],
    });
    const file = join(processes.folder, 'settings.yaml');
    await writeFile(file, JSON.stringify(newSettings(upstreams, slots, customers)));
    const published = await processes.run('cli', [
      'publish',
      file,
      '--operator',
      'admin',
      '--log',
      platform.url,
      '--peer',
      entry.peerUrl,
    ]);
    if (published.status !== 0) throw new Error(published.text);
    const listUpstreams = async () =>
      (await (await request(`${platform.url}/hosts`)).body.json()).upstreams;
    await waitUntil('upstreams', async () => {
      const live = (await listUpstreams()).filter(({ state }) => state === 'live');
      return live.length === upstreams;
    });
    await sleep(2_500);
    return await use({ processes, platform, entry, listUpstreams });
  } finally {
    await processes.stopAll();
  }
};

const runPlan = async (processes, target, plan, plot) => {
  const file = join(processes.folder, `plan-${Math.random()}.yaml`);
  await writeFile(file, JSON.stringify({ model: MODEL, ...plan }));
  const run = await processes.run('cli', [
    'bench',
    file,
    '--target',
    target,
    '--json',
    ...(plot ? ['--plot', join(OUTPUT, plot)] : []),
  ]);
  if (run.status !== 0) throw new Error(run.text);
  return JSON.parse(run.text);
};

const save = async (name, figures) => {
  await mkdir(OUTPUT, { recursive: true });
  await writeFile(join(OUTPUT, `${name}.json`), `${JSON.stringify(figures, null, 2)}\n`);
};

const REQUEST_PAIRS = 400;
const TOKENS = 32;

/** Latency added by the entry: sends the same request alternately to the upstream and to the entry. */
const overhead = () =>
  withSystem(
    {
      upstreams: 1,
      slots: 8,
      customers: [{ id: 'players' }],
      platformArgs: ['--token-delay', '2', '--prefill-delay', '0'],
    },
    async ({ entry, listUpstreams }) => {
      const [{ url }] = await listUpstreams();
      const directLatencies = build();
      const relayedLatencies = build();
      const time = async (histogram, send) => {
        const startedAt = performance.now();
        await send();
        histogram.recordValue(Math.round((performance.now() - startedAt) * 1_000));
      };
      const sendDirect = async () => {
        const body = { requestId: 'r', customer: 'c', prompt: 'x', prefix: [], maxTokens: TOKENS };
        const answer = await request(`${url}/v1/generate`, {
          method: 'POST',
          body: JSON.stringify(body),
        });
        await answer.body.text();
      };
      const sendRelayed = async () => {
        const body = { model: MODEL, prompt: 'x', max_tokens: TOKENS, stream: true };
        if (!isStreamComplete(await post(`${entry.url}/v1/completions`, 'players', body))) {
          throw new Error('a streamed response was truncated');
        }
      };
      for (let pair = 0; pair < REQUEST_PAIRS + 20; pair += 1) {
        const isWarm = pair >= 20;
        await time(isWarm ? directLatencies : build(), sendDirect);
        await time(isWarm ? relayedLatencies : build(), sendRelayed);
      }
      const figures = Object.fromEntries(
        [50, 99].map((percentile) => {
          const [direct, relayed] = [directLatencies, relayedLatencies].map(
            (histogram) => histogram.getValueAtPercentile(percentile) / 1_000,
          );
          return [`p${percentile}`, { direct, relayed, ratio: relayed / direct }];
        }),
      );
      print(`overhead, ${TOKENS} tokens, ms: ${JSON.stringify(figures)}`);
      await save('overhead', figures);
    },
  );

/** Maximum throughput of one entry: raises the load until responses are refused or late. */
const throughput = () =>
  withSystem(
    {
      upstreams: 4,
      slots: 512,
      customers: [{ id: 'players', maxInFlight: 4_000, maxQueued: 4_000 }],
      platformArgs: ['--token-delay', '10', '--prefill-delay', '0'],
    },
    async ({ processes, entry }) => {
      const rows = [];
      for (const rate of [50, 100, 200, 300, 400]) {
        const result = await runPlan(processes, entry.url, {
          customers: [{ id: 'players', requestsPerSecond: rate }],
          seconds: 8,
          warmupSeconds: 2,
          maxTokens: TOKENS,
        });
        const { all, tokensPerSecond, requestsPerSecond } = result;
        rows.push({
          offered: rate,
          requestsPerSecond,
          tokensPerSecond,
          p50: all.wholeMs.p50,
          p99: all.wholeMs.p99,
          refused: all.refused,
          broken: all.broken,
        });
        print(`throughput: ${JSON.stringify(rows.at(-1))}`);
      }
      await save('throughput', rows);
    },
  );

const SMALL_CUSTOMERS = ['teachers', 'ledger', 'booking', 'quotes', 'repairs', 'shop', 'workshop'];

/**
 * Effect of one customer at ten times its share on the others: the others alone, then with that
 * customer under fair and under first-in-first-out queueing.
 */
const fairness = async () => {
  const customers = ['players', ...SMALL_CUSTOMERS].map((id) => ({
    id,
    maxInFlight: 1_000,
    maxQueued: 2_000,
  }));
  const smallCustomers = SMALL_CUSTOMERS.map((id) => ({ id, requestsPerSecond: 4 }));
  // 24 slots of about 200 ms serve about 120 requests/s; the share of each customer is an eighth.
  const load = { seconds: 20, warmupSeconds: 4, maxTokens: 40, prefixes: 1, timeoutMs: 8_000 };
  const runs = {
    alone: { policy: { queue: 'fair' }, large: 0 },
    'fair-reserve-0': { policy: { queue: 'fair', reservedPart: 0 }, large: 150 },
    'fair-reserve-6': { policy: { queue: 'fair', reservedPart: 0.0625 }, large: 150 },
    'fair-reserve-12': { policy: { queue: 'fair', reservedPart: 0.125 }, large: 150 },
    'fair-reserve-25': { policy: { queue: 'fair', reservedPart: 0.25 }, large: 150 },
    fifo: { policy: { queue: 'fifo' }, large: 150 },
  };
  const figures = {};
  for (const [name, { policy, large }] of Object.entries(runs)) {
    figures[name] = await withSystem(
      {
        upstreams: 3,
        slots: 8,
        customers,
        policy,
        platformArgs: ['--token-delay', '5', '--prefill-delay', '0'],
      },
      ({ processes, entry }) =>
        runPlan(
          processes,
          entry.url,
          { ...load, customers: [{ id: 'players', requestsPerSecond: large }, ...smallCustomers] },
          `fairness-${name}.svg`,
        ),
    );
    const others = figures[name].customers.filter(({ customer }) => customer !== 'players');
    const worst = Math.max(...others.map(({ wholeMs }) => wholeMs.p99));
    const refused = others.reduce((sum, one) => sum + one.refused + one.broken, 0);
    figures[name].worstSmall = { p99: worst, notServed: refused };
    print(
      `fairness ${name}: worst small customer p99 ${worst.toFixed(0)} ms, not served ${refused}, ${figures[name].requestsPerSecond.toFixed(1)} answers/s in all`,
    );
  }
  await save('fairness', figures);
};

/** Policies for choosing an upstream: affinity, least-in-flight and random. */
const choice = async () => {
  const figures = {};
  for (const policy of ['affinity', 'least-in-flight', 'random']) {
    figures[policy] = await withSystem(
      {
        upstreams: 6,
        slots: 8,
        customers: [{ id: 'players', maxInFlight: 1_000, maxQueued: 2_000 }],
        policy: { choice: policy },
        platformArgs: ['--token-delay', '5', '--prefill-delay', '150', '--prefixes-cached', '20'],
      },
      ({ processes, entry }) =>
        runPlan(processes, entry.url, {
          customers: [{ id: 'players', requestsPerSecond: 70 }],
          seconds: 20,
          warmupSeconds: 4,
          maxTokens: 40,
          prefixes: 300,
        }),
    );
    const { firstTokenMs, wholeMs } = figures[policy].all;
    print(
      `choice ${policy}: first token p50 ${firstTokenMs.p50.toFixed(0)} p90 ${firstTokenMs.p90.toFixed(0)} p99 ${firstTokenMs.p99.toFixed(0)} ms, whole p50 ${wholeMs.p50.toFixed(0)} p99 ${wholeMs.p99.toFixed(0)} ms`,
    );
  }
  await save('choice', figures);
};

const TAKEOVERS = 3;

/**
 * Time until another control process holds the lease of a killed one; no orders are placed for the
 * failure domain meanwhile.
 */
const takeover = async () => {
  const processes = await newProcesses();
  try {
    const platform = await processes.startPlatform();
    const entry = await processes.startDaemon('entry', 'entry-1', 'argos-c', platform.url);
    const start = (index) =>
      processes.startDaemon('control', `control-${index}`, 'argos-c', platform.url, {
        seeds: [entry.peerUrl],
      });
    const readHolder = async () => {
      const status = await processes.run('cli', ['status', '--log', platform.url, '--json']);
      return JSON.parse(status.text).leases.reports?.holder ?? '';
    };
    const controls = [await start(0), await start(1)];
    await waitUntil('a holder', async () => (await readHolder()) !== '');
    const times = [];
    for (let count = 0; count < TAKEOVERS; count += 1) {
      const holder = await readHolder();
      const index = controls.findIndex(({ id }) => holder.startsWith(`${id}-`));
      const killedAt = performance.now();
      await processes.end(controls[index].child, 'SIGKILL');
      await waitUntil('a successor', async () => (await readHolder()) !== holder);
      times.push(performance.now() - killedAt);
      controls[index] = await start(count + 2);
      await sleep(3_000);
    }
    print(`takeover after a kill, ms: ${times.map((ms) => ms.toFixed(0)).join(', ')}`);
    await save('takeover', { times });
  } finally {
    await processes.stopAll();
  }
};

const EXPERIMENTS = { overhead, throughput, fairness, choice, takeover };
const wanted = process.argv.slice(2);
for (const name of wanted.length > 0 ? wanted : Object.keys(EXPERIMENTS)) {
  await EXPERIMENTS[name]();
}

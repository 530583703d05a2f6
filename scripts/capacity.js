/**
 * Measures how costs grow with the number of processes, upstreams, customers and records; the estimates
 * of docs/CAPACITY.md are derived from the results. Uses less than half of the machine's memory and at
 * most a few hundred processes. Prints the figures and writes them to docs/measurements/capacity.json.
 * Needs a build.
 *
 * node scripts/capacity.js [programs] [processes] [upstreams] [records]
 */
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { request } from 'undici';
import digest from '@cyclamengate/common/digest';
import newFold from '@cyclamengate/coordination/newFold';
import { demoKeyOf } from '@cyclamengate/fakes/callers';
import newProcesses, { sleep, waitUntil } from '@cyclamengate/fakes/newProcesses';

const OUTPUT = 'docs/measurements';
const MEASUREMENT_MS = 10_000;
const DOMAINS = ['a', 'b', 'c'];
const REDUCED_HEAP_ARGS = [
  '--max-semi-space-size=1',
  '--max-old-space-size=48',
  '--optimize-for-size',
];
const print = (text) => process.stdout.write(`${text}\n`);

const newSettings = (upstreamsPerDomain, customers) => ({
  subtrees: {
    '/': {
      operators: [{ id: 'admin', paths: ['/'] }],
      services: [
        {
          id: 'model',
          type: 'model',
          pools: DOMAINS.map((failureDomain) => ({
            failureDomain,
            minUpstreams: upstreamsPerDomain,
            maxUpstreams: upstreamsPerDomain,
          })),
        },
      ],
      customers: Array.from({ length: customers }, (_, index) => ({ id: `c${index}` })),
      keys: Array.from({ length: customers }, (_, index) => ({
        id: `k${index}`,
        customer: `c${index}`,
        digest: digest(demoKeyOf(`c${index}`)),
      })),
    },
  },
});

const readMetric = async ({ url }, name) => {
  const text = await (await request(`${url}/metrics`)).body.text();
  return Number(new RegExp(`^${name} (.*)$`, 'm').exec(text)?.[1] ?? 0);
};

const readAll = async (daemons) =>
  Promise.all(
    daemons.map(async (daemon) => ({
      cpu: await readMetric(daemon, 'cpu_microseconds'),
      peerBytes: await readMetric(daemon, 'peer_bytes'),
      resident: await readMetric(daemon, 'resident_bytes'),
    })),
  );

const mean = (values) => values.reduce((sum, value) => sum + value, 0) / values.length;

const readCounts = async (platform) => (await request(`${platform.url}/counts`)).body.json();

/** Measures the cost of the control traffic of idle daemons, per daemon. */
const measureIdleCost = async (platform, daemons) => {
  const before = await readAll(daemons);
  const countsBefore = await readCounts(platform);
  const startedAt = performance.now();
  await sleep(MEASUREMENT_MS);
  const after = await readAll(daemons);
  const counts = await readCounts(platform);
  const seconds = (performance.now() - startedAt) / 1_000;
  // Traffic between two peers is counted only by the one that serves, but is a cost of both.
  const peerBytes = mean(after.map((one, index) => one.peerBytes - before[index].peerBytes)) * 2;
  return {
    corePercent: mean(after.map((one, index) => one.cpu - before[index].cpu)) / seconds / 10_000,
    residentMegabytes: mean(after.map(({ resident }) => resident)) / 1_048_576,
    peerKilobytesPerSecond: peerBytes / seconds / 1_024,
    platformKilobytesPerSecond:
      (counts.bytes - countsBefore.bytes) / daemons.length / seconds / 1_024,
    logReadsPerSecond: (counts.reads - countsBefore.reads) / seconds,
    logAppendsPerSecond: (counts.appends - countsBefore.appends) / seconds,
  };
};

const publish = async (processes, platform, peer, settings) => {
  const file = join(processes.folder, `settings-${Math.random()}.yaml`);
  await writeFile(file, JSON.stringify(settings));
  const run = await processes.run('cli', [
    'publish',
    file,
    '--operator',
    'admin',
    '--log',
    platform.url,
    '--peer',
    peer.peerUrl,
    '--wait',
    '60',
    '--json',
  ]);
  if (run.status !== 0) throw new Error(run.text);
  return JSON.parse(run.text);
};

const startEntries = async (processes, platform, count, nodeArgs) => {
  const entries = [];
  const startOne = async (index) => {
    const seeds = entries.slice(0, 3).map(({ peerUrl }) => peerUrl);
    entries.push(
      await processes.startDaemon('entry', `entry-${index}`, DOMAINS[index % 3], platform.url, {
        seeds,
        nodeArgs,
      }),
    );
  };
  for (let index = 0; index < Math.min(3, count); index += 1) await startOne(index);
  for (let index = 3; index < count; index += 8) {
    const batch = Array.from({ length: Math.min(8, count - index) }, (_, more) => index + more);
    await Promise.all(batch.map(startOne));
  }
  return entries;
};

const withProcesses = async (use) => {
  const processes = await newProcesses();
  try {
    return await use(processes);
  } finally {
    await processes.stopAll('SIGKILL');
  }
};

/** Measures each program alone, with default and with reduced heap limits. */
const measurePrograms = () =>
  withProcesses(async (processes) => {
    const platform = await processes.startPlatform();
    const figures = {};
    for (const app of ['entry', 'rollout', 'control']) {
      for (const [name, nodeArgs] of [
        ['plain', []],
        ['trimmed', REDUCED_HEAP_ARGS],
      ]) {
        const daemon = await processes.startDaemon(app, `${app}-${name}`, 'a', platform.url, {
          nodeArgs,
        });
        await sleep(2_000);
        figures[`${app} ${name}`] = await measureIdleCost(platform, [daemon]);
        await processes.end(daemon.child, 'SIGKILL');
        const { residentMegabytes, corePercent } = figures[`${app} ${name}`];
        print(
          `program ${app} ${name}: ${residentMegabytes.toFixed(1)} MB, ${corePercent.toFixed(2)} % of a core`,
        );
      }
    }
    return figures;
  });

/** Measures the cost per daemon and the time for a change to be in force, by number of daemons. */
const measureByProcesses = async () => {
  const figures = [];
  for (const count of [10, 30, 60]) {
    const row = await withProcesses(async (processes) => {
      const platform = await processes.startPlatform();
      const entries = await startEntries(processes, platform, count, REDUCED_HEAP_ARGS);
      await waitUntil(
        'all members are known',
        async () => (await readMetric(entries[0], 'members_live')) >= count,
      );
      await publish(processes, platform, entries[0], newSettings(0, 8));
      await sleep(3_000);
      const idle = await measureIdleCost(platform, entries);
      const times = [];
      for (let change = 0; change < 3; change += 1) {
        const { tookMs } = await publish(
          processes,
          platform,
          entries[0],
          newSettings(0, 9 + change),
        );
        times.push(tookMs);
      }
      return { count, ...idle, inForceMs: times.sort((left, right) => left - right)[1] };
    });
    figures.push(row);
    print(`processes: ${JSON.stringify(row)}`);
  }
  return figures;
};

/** Measures the cost of one entry by number of upstreams, a third of them in its failure domain. */
const measureByUpstreams = async () => {
  const figures = [];
  for (const perDomain of [2, 10, 25, 50]) {
    const row = await withProcesses(async (processes) => {
      const platform = await processes.startPlatform();
      const entries = await startEntries(processes, platform, 1, REDUCED_HEAP_ARGS);
      const control = await processes.startDaemon('control', 'control-1', 'a', platform.url, {
        seeds: [entries[0].peerUrl],
        nodeArgs: REDUCED_HEAP_ARGS,
      });
      await publish(processes, platform, entries[0], newSettings(perDomain, 8));
      await waitUntil('upstreams', async () => {
        const { upstreams } = await (await request(`${platform.url}/hosts`)).body.json();
        return upstreams.filter(({ state }) => state === 'live').length >= perDomain * 3;
      });
      await sleep(2_000);
      const entry = await measureIdleCost(platform, entries);
      const { corePercent, residentMegabytes } = await measureIdleCost(platform, [control]);
      return {
        upstreams: perDomain * 3,
        ...entry,
        controlCorePercent: corePercent,
        controlMegabytes: residentMegabytes,
      };
    });
    figures.push(row);
    print(`upstreams: ${JSON.stringify(row)}`);
  }
  return figures;
};

const newRecordBody = (id, record) => JSON.stringify({ version: 1, id, writer: 'measure', record });

const timeFold = (fold, bodies) => {
  let { offset } = fold.state();
  const startedAt = performance.now();
  bodies.forEach((body) => {
    offset += 1;
    fold.apply({ offset, at: offset, body });
  });
  return ((performance.now() - startedAt) * 1_000) / bodies.length;
};

/** Measures the time to fold each type of record and the size of the state, by number of customers. */
const measureByCustomers = async () => {
  const figures = [];
  for (const customers of [8, 80, 400, 800]) {
    const fold = newFold();
    const { subtrees } = newSettings(75, customers);
    const first = {
      type: 'settings-change',
      operator: 'admin',
      subtrees: [{ path: '/', basedOn: -1, subtree: subtrees['/'] }],
    };
    const firstUs = timeFold(fold, [newRecordBody('first', first)]);
    const changes = Array.from({ length: 200 }, (_, index) =>
      newRecordBody(`change-${index}`, {
        type: 'settings-change',
        operator: 'admin',
        subtrees: [
          { path: `/team-${index}`, basedOn: -1, subtree: { customers: [{ id: `t${index}` }] } },
        ],
      }),
    );
    const changeUs = timeFold(fold, changes);
    const usage = Array.from({ length: 2_000 }, (_, index) =>
      newRecordBody(`usage-${index}`, {
        type: 'usage-delta',
        host: `h${index % 330}`,
        sequence: Math.floor(index / 330),
        windows: {
          60_000: Object.fromEntries(
            Array.from({ length: 8 }, (__, one) => [
              `c${(index + one) % customers}`,
              { requests: 1, promptTokens: 10, outputTokens: 20 },
            ]),
          ),
        },
      }),
    );
    const usageUs = timeFold(fold, usage);
    const leases = Array.from({ length: 2_000 }, (_, index) =>
      newRecordBody(`lease-${index}`, {
        type: 'lease-claim',
        lease: 'x',
        holder: 'h',
        basedOn: index === 0 ? -1 : fold.state().offset + index,
      }),
    );
    const leaseUs = timeFold(fold, leases);
    const openedSteps = ['t1', 't2', 't3', 't4', 't5'].flatMap((trainer) =>
      Array.from({ length: 8 }, (_, step) =>
        newRecordBody(`${trainer}-${step}`, {
          type: 'step-opened',
          trainer,
          step,
          groups: 64,
          groupSize: 8,
        }),
      ),
    );
    const openedUs = timeFold(fold, openedSteps);
    const row = {
      customers,
      firstUs,
      changeUs,
      usageUs,
      leaseUs,
      openedUs,
      stateKilobytes: JSON.stringify(fold.state()).length / 1_024,
    };
    figures.push(row);
    print(`records: ${JSON.stringify(row)}`);
  }
  return figures;
};

const PARTS = {
  programs: measurePrograms,
  processes: measureByProcesses,
  upstreams: measureByUpstreams,
  records: measureByCustomers,
};
const wanted = process.argv.slice(2);
const file = join(OUTPUT, 'capacity.json');
await mkdir(OUTPUT, { recursive: true });
const figuresByPart = JSON.parse(await readFile(file, 'utf8').catch(() => '{}'));
for (const name of wanted.length > 0 ? wanted : Object.keys(PARTS)) {
  figuresByPart[name] = await PARTS[name]();
}
await writeFile(file, `${JSON.stringify(figuresByPart, null, 2)}\n`);

import test from 'ava';
import { batchBody, readPage, submit } from './batchHelpers.js';
import { send, sleep, waitUntil } from './newHosts.js';
import type { TestHost } from './newHosts.js';
import { newSystem } from './testSystem.js';

const DEADLY_BODY = 'prompt 0';
/** Upstreams that may end under one request before it counts as the cause, and retries after that. */
const MAX_ENDED = 3;
const MAX_RETRIES = 3;
const ROUNDS = 8;
/** Longer than a crashed upstream of the stand-in is down. */
const ROUND_MS = 500;

test.serial(
  'a request that ends each upstream that runs it is stopped at every host',
  async (t) => {
    // Guards against one request that takes down a service for all callers, again at each host to
    // which its caller sends it.
    const { platform, first, second, third, close } = await newSystem(1);
    t.teardown(close);
    platform.plain.forEach(({ faults }) => Object.assign(faults, { deadlyBody: DEADLY_BODY }));
    const endedCount = (): number =>
      platform.plain.reduce((sum, { crashCount }) => sum + crashCount(), 0);
    const runCount = (id: string): number =>
      platform.plain.flatMap(({ runs }) => runs).filter(({ requestId }) => requestId === id).length;
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const [index, host] of [first, second, third].entries()) {
        const path = round % 2 === 0 ? '/lookup/9' : '/deposit/9';
        const id = `deadly-${round}-${index}`;
        const { status } = await send(host, 'POST', path, { id, body: DEADLY_BODY });
        t.true(status === 502 || status === 503, `status ${status}`);
        if (status === 503) t.is(runCount(id), 0);
      }
      await sleep(ROUND_MS);
      const innocent = await send(second, 'POST', '/lookup/9', { id: `other-${round}`, body: 'x' });
      t.is(innocent.status, 200);
    }
    // Lookups and deposits are two requests.
    t.true(endedCount() <= 2 * (MAX_ENDED + MAX_RETRIES), `${endedCount()} upstreams ended`);
  },
);

const knowsCrash = ({ events }: TestHost): boolean =>
  events.some(({ event }) => event === 'crash.received');

test.serial('a request that ended an upstream is not sent to the last one', async (t) => {
  // Guards against one request that leaves all other callers of a service without an upstream.
  const { platform, first, second, third, close } = await newSystem(1);
  t.teardown(close);
  platform.plain.forEach(({ faults }) => Object.assign(faults, { deadlyBody: DEADLY_BODY }));
  for (const [index, host] of [first, second, third].entries()) {
    const id = `deadly-${index}`;
    const { status } = await send(host, 'POST', '/lookup/9', { id, body: DEADLY_BODY });
    t.true(status === 502 || status === 503, `status ${status}`);
    const innocent = await send(second, 'POST', '/lookup/9', { id: `other-${index}`, body: 'x' });
    t.is(innocent.status, 200);
    t.true(platform.plain.some(({ server }) => server.listening));
    await waitUntil(() => [second, third].every(knowsCrash));
  }
});

/** A batch in which one item crashes engines, and the scoring call of another crashes upstreams. */
const deadlyBatchBody = (): string => {
  const batch = JSON.parse(batchBody('b1', 3, 4)) as { entries: { scorer: { body: string } }[] };
  const [, second] = batch.entries;
  if (second) second.scorer.body = Buffer.from(DEADLY_BODY).toString('base64');
  return JSON.stringify(batch);
};

test.serial(
  'an item that ends each engine that runs it is stopped, and others finish',
  async (t) => {
    // Guards against one item of a step, or one scoring call, that takes down all upstreams in turn.
    const { platform, first, second, close } = await newSystem();
    t.teardown(close);
    const servers = [...platform.engines, ...platform.plain];
    servers.forEach(({ faults }) => Object.assign(faults, { deadlyBody: DEADLY_BODY }));
    t.is((await submit(first, 'b1', deadlyBatchBody())).status, 202);
    const countResults = async (): Promise<number> =>
      (await readPage(second, 'b1').catch(() => null))?.results.length ?? 0;
    await waitUntil(async () => (await countResults()) === 10);
    await sleep(ROUNDS * ROUND_MS);
    t.is(await countResults(), 10);
    [platform.engines, platform.plain].forEach((group) => {
      const endedCount = group.reduce((sum, { crashCount }) => sum + crashCount(), 0);
      t.true(endedCount <= MAX_ENDED + MAX_RETRIES, `${endedCount} upstreams ended`);
    });
  },
);

const DEADLY_PROMPT = 'ab12:600,cd34:16';
const BATCHES = 4;

/**
 * Submits batches to the hosts in turn, each once the innocent items of the one before are done.
 * @returns the statuses of the answers
 */
const submitInTurn = async (
  hosts: TestHost[],
  newBody: (name: string) => string,
  innocents: number,
): Promise<number[]> => {
  const statuses: number[] = [];
  for (let index = 0; index < BATCHES; index += 1) {
    const host = hosts[index % hosts.length] as TestHost;
    const name = `b${index}`;
    const { status } = await submit(host, name, newBody(name));
    statuses.push(status);
    await waitUntil(async () => {
      const page = await readPage(host, name).catch(() => null);
      return (page?.results.length ?? 0) >= innocents;
    });
  }
  return statuses;
};

/** A batch whose first item has a prompt that crashes engines; its body differs from batch to batch. */
const deadlyPromptBody = (name: string): string => {
  const batch = JSON.parse(batchBody(name, 3, 4)) as {
    entries: { headers: Record<string, string>; body: string }[];
  };
  const [first] = batch.entries;
  if (first) {
    first.headers['Prompt-Prefix'] = DEADLY_PROMPT;
    first.body = Buffer.from(`copy of ${name}`).toString('base64');
  }
  return JSON.stringify(batch);
};

test.serial(
  'copies of a deadly prompt that differ in their bodies are stopped together',
  async (t) => {
    // Guards against a prompt that ends as many engines again with each batch that brings it.
    const { platform, system, first, second, third, close } = await newSystem();
    t.teardown(close);
    platform.engines.forEach(({ faults }) =>
      Object.assign(faults, { deadlyPrompt: DEADLY_PROMPT }),
    );
    const statuses = await submitInTurn([first, second, third], deadlyPromptBody, 11);
    t.true(statuses.every((status) => status === 202));
    await sleep(ROUNDS * ROUND_MS);
    const endedCount = platform.engines.reduce((sum, { crashCount }) => sum + crashCount(), 0);
    t.true(endedCount <= MAX_ENDED + MAX_RETRIES, `${endedCount} engines ended`);
    t.true(system.hosts.some(({ events }) => events.some(({ event }) => event === 'request.held')));
  },
);

const DEADLY_PATH = '/lookup/deadly';

/** A batch whose first items are scored under one path that crashes upstreams, by different bodies. */
const deadlyScoringBody = (name: string): string => {
  const batch = JSON.parse(batchBody(name, 3, 4)) as {
    entries: { scorer: { path: string; body: string } }[];
  };
  batch.entries.slice(0, 2).forEach(({ scorer }, index) => {
    scorer.path = DEADLY_PATH;
    scorer.body = Buffer.from(`${name} ${index}`).toString('base64');
  });
  return JSON.stringify(batch);
};

test.serial(
  'scoring calls that end upstreams are stopped together, and others are made',
  async (t) => {
    // Guards against a scoring call that takes down the service again with each item that brings it.
    const { platform, first, second, third, close } = await newSystem();
    t.teardown(close);
    platform.plain.forEach(({ faults }) => Object.assign(faults, { deadlyPath: DEADLY_PATH }));
    const statuses = await submitInTurn([first, second, third], deadlyScoringBody, 10);
    t.true(statuses.every((status) => status === 202));
    await sleep(ROUNDS * ROUND_MS);
    const endedCount = platform.plain.reduce((sum, { crashCount }) => sum + crashCount(), 0);
    t.true(endedCount <= MAX_ENDED + MAX_RETRIES, `${endedCount} upstreams ended`);
  },
);

/** Crashes of one item's engines after which it was held for 25 s and more. */
const UNLUCKY_CRASHES = 4;
/** Time of calm within which the item has to be done: its longest hold and its run. */
const CALM_MS = 7_000;

test.serial('an item under which engines ended is run once they end no more', async (t) => {
  // Guards against a sound item that is never placed again after a burst of crashes.
  const { platform, first, second, close } = await newSystem();
  t.teardown(close);
  const setDeadly = (deadlyBody: string | null): void =>
    platform.engines.forEach(({ faults }) => Object.assign(faults, { deadlyBody }));
  setDeadly(DEADLY_BODY);
  t.is((await submit(first, 'b1', batchBody('b1', 1, 4))).status, 202);
  const endedCount = (): number =>
    platform.engines.reduce((sum, { crashCount }) => sum + crashCount(), 0);
  await waitUntil(() => endedCount() >= UNLUCKY_CRASHES);
  setDeadly(null);
  const calmAt = Date.now();
  await waitUntil(async () => {
    const page = await readPage(second, 'b1').catch(() => null);
    return page?.results.length === 4 || Date.now() > calmAt + CALM_MS;
  });
  const page = await readPage(second, 'b1');
  t.is(page?.results.length, 4);
});

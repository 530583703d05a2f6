import { newOperatorSettings } from '@cyclamengate/app-platform-standin/newPlatform';
import { serviceReportSchema } from '@cyclamengate/gateway/serviceReport';
import test from 'ava';
import { request } from 'undici';
import { z } from 'zod';
import {
  batchBody,
  expectedTextOf,
  readAllResults,
  readPage,
  submit,
  submitUntilKnown,
} from './batchHelpers.js';
import { send, waitUntil } from './newHosts.js';
import { newSystem } from './testSystem.js';

test.serial('a batch is run and scored, and every host returns the same results', async (t) => {
  const { platform, first, second, third, close } = await newSystem();
  t.is((await submit(first, 'b1', batchBody('b1', 3, 4))).status, 202);
  t.is((await submit(second, 'b1', batchBody('b1', 3, 4))).status, 202);
  const pages = await Promise.all([first, second, third].map((host) => readAllResults(host, 'b1')));
  t.is(pages[0]?.total, 12);
  t.deepEqual(pages[1], pages[0]);
  t.deepEqual(pages[2], pages[0]);
  pages[0]?.results.forEach(({ id, state, text, versions, score }) => {
    t.is(state, 'completed');
    t.is(text, expectedTextOf(id));
    t.deepEqual(versions, [1]);
    t.regex(score ?? '', /^portal-/);
  });
  const runs = platform.engines.flatMap((engine) => engine.runs);
  t.true(runs.every(({ customer, key }) => customer === 'museum' && key === null));
  t.is((await send(third, 'GET', '/v1/items/b1?id=b1-5')).body, 'prompt 5');
  t.is((await send(second, 'GET', '/v1/lots/unknown?after=0')).status, 404);
  t.is((await send(second, 'GET', '/v1/lots/b1?after=0', { key: 'stolen' })).status, 401);
  t.is((await send(first, 'DELETE', '/v1/lots/b1')).status, 200);
  t.is((await send(second, 'DELETE', '/v1/lots/b1')).status, 200);
  await close();
});

test.serial('requests run for the customer of their key, on configured routes only', async (t) => {
  const { platform, first, second, close } = await newSystem(1);
  const answer = await send(first, 'POST', '/lookup/7', { id: 'q1', body: 'hello' });
  t.is(answer.status, 200);
  t.is(answer.body, 'hello');
  t.regex(String(answer.headers['server-stamp']), /\.q1$/);
  t.is((await send(second, 'POST', '/lookup/7', { key: 'stolen' })).status, 401);
  t.is((await send(second, 'POST', '/nowhere/7')).status, 404);
  const runs = platform.plain.flatMap((upstream) => upstream.runs);
  t.deepEqual(
    runs.filter(({ requestId }) => requestId === 'q1'),
    [{ requestId: 'q1', customer: 'museum', key: null }],
  );
  await close();
});

test.serial('half an answer without a length never reaches a caller as a whole one', async (t) => {
  // Guards against truncated answers that callers take for complete ones: an upstream crashes, and
  // the reset arrives together with the last bytes of an answer without a length.
  const { platform, first, close } = await newSystem(1);
  t.teardown(close);
  for (const { faults } of [...platform.plain, ...platform.plain]) {
    faults.brokenAnswers = 1;
    const lookup = await send(first, 'POST', '/lookup/7', { body: 'a whole answer' });
    t.is(lookup.status, 200);
    t.is(lookup.body, 'a whole answer');
  }
  platform.plain.forEach(({ faults }) => Object.assign(faults, { brokenAnswers: 1 }));
  const deposit = await send(first, 'POST', '/deposit/7', { body: 'a whole answer' });
  t.is(deposit.status, 502);
});

test.serial('a withdrawn key stops working on every host', async (t) => {
  // Guards against a host that still accepts a key which the operator has withdrawn, and against an
  // older version of the settings that restores the key.
  const { platform, first, second, third, close } = await newSystem(1);
  platform.publish('config', { ...newOperatorSettings(2), tenants: [] });
  await waitUntil(async () => {
    const answers = await Promise.all(
      [first, second, third].map((host) => send(host, 'POST', '/lookup/7')),
    );
    return answers.every(({ status }) => status === 401);
  });
  platform.publish('config', newOperatorSettings(1));
  await new Promise((resolve) => {
    setTimeout(resolve, 300);
  });
  t.is((await send(first, 'POST', '/lookup/7')).status, 401);
  await close();
});

test.serial('engines load published weights, and results name their version', async (t) => {
  const { platform, first, close } = await newSystem();
  platform.publishVersion(2);
  await waitUntil(
    () => platform.engines.filter(({ versions }) => [...versions.values()].includes(2)).length >= 2,
  );
  t.is((await submitUntilKnown(first, 'b2', batchBody('b2', 2, 2, 2))).status, 202);
  const page = await readAllResults(first, 'b2');
  t.true(page.results.every(({ versions }) => versions.every((version) => version === 2)));
  const holders = new Set(platform.engines.flatMap(({ orders }) => orders.map((o) => o.holder)));
  t.true(holders.size >= 1);
  await close();
});

test.serial('usage is reported once per window, by one host, without double counts', async (t) => {
  const { platform, first, second, close } = await newSystem(1);
  await waitUntil(() => platform.reports.length > 0);
  for (let index = 0; index < 6; index += 1) {
    await send(index % 2 ? first : second, 'POST', '/lookup/7', { id: `u${index}` });
  }
  const billed = (): number =>
    platform.reports.reduce(
      (sum, { counts }) => sum + ((counts as Record<string, number>).museum ?? 0),
      0,
    );
  await waitUntil(() => billed() >= 6);
  t.is(billed(), 6);
  const windows = platform.reports.map(({ window }) => window);
  t.is(new Set(windows).size, windows.length);
  t.is(new Set(platform.reports.map(({ holder }) => holder)).size, 1);
  await close();
});

test.serial('items whose streams an engine resets are resumed on another engine', async (t) => {
  // One engine resets every stream after two events. Guards against events that are missing or
  // repeated when another engine resumes an item after its last event.
  const { platform, first, close } = await newSystem();
  const [broken] = platform.engines;
  if (broken) broken.faults.resetAfterEvents = 2;
  t.is((await submitUntilKnown(first, 'b4', batchBody('b4', 4, 4))).status, 202);
  const page = await readAllResults(first, 'b4');
  t.true(page.results.every(({ id, text }) => text === expectedTextOf(id)));
  const resumed = platform.engines.flatMap(({ runs }) => runs).filter((r) => r.lastEventId > 0);
  t.true(resumed.length > 0);
  await close();
});

test.serial('a response to another request is never accepted', async (t) => {
  // A faulty engine swaps its responses: each has the id of another request.
  const { platform, first, close } = await newSystem();
  const [faulty] = platform.engines;
  if (faulty) faulty.faults.hasWrongAttemptId = true;
  t.is((await submitUntilKnown(first, 'b5', batchBody('b5', 2, 4))).status, 202);
  const page = await readAllResults(first, 'b5');
  t.true(page.results.every(({ id, text }) => text === expectedTextOf(id)));
  await close();
});

test.serial(
  'during a store outage no host reports a false outcome, and batches complete afterwards',
  async (t) => {
    // The store stops responding in the middle of a batch. Guards against an unknown batch that is
    // reported missing, and against a new batch that is reported accepted, during the outage.
    const { platform, first, second, close } = await newSystem();
    t.is((await submitUntilKnown(first, 'b6', batchBody('b6', 2, 4))).status, 202);
    await waitUntil(async () => (await readPage(second, 'b6')) !== null);
    platform.store.faults.mode = 'silent';
    t.not((await send(second, 'GET', '/v1/lots/other?after=0')).status, 404);
    t.not((await submit(second, 'b7', batchBody('b7', 1, 2))).status, 202);
    t.is((await send(first, 'POST', '/lookup/7', { id: 'q2', body: 'x' })).status, 200);
    platform.store.faults.mode = 'well';
    t.is((await readAllResults(second, 'b6')).results.length, 8);
    await close();
  },
);

test.serial('a batch whose append takes effect late is not reported as not run', async (t) => {
  // The store applies the append seconds after the response was due, so the batch runs after all.
  const { platform, first, second, close } = await newSystem();
  platform.store.faults.delayedAppends = 1;
  const answers = [await submit(first, 'b8', batchBody('b8', 1, 2))];
  await waitUntil(async () => (await readPage(second, 'b8')) !== null);
  t.true(answers.every(({ status }) => status !== 503 && status !== 429));
  t.is((await submit(second, 'b8', batchBody('b8', 1, 2))).status, 202);
  t.is((await readAllResults(second, 'b8')).results.length, 2);
  await close();
});

const newOutage = async () => {
  const system = await newSystem();
  const { platform, first, second } = system;
  await waitUntil(async () => (await submit(second, 'b0', batchBody('b0', 1, 1))).status === 202);
  platform.store.faults.mode = 'busy';
  const body = batchBody('b1', 2, 2);
  const refusal = await submit(first, 'b1', body);
  const retry = await submit(second, 'b1', body);
  const countRuns = (): number =>
    platform.engines.flatMap(({ runs }) => runs).filter(({ requestId }) => /^b1/.test(requestId))
      .length;
  await waitUntil(() => countRuns() >= 4);
  return { ...system, body, refusal, retry };
};

test.serial(
  'a batch submitted during a store outage runs at once and is listed afterwards',
  async (t) => {
    // A step is submitted in the middle of a store outage of 3 s. Guards against refusing it until its
    // trainer gives up although engines are idle.
    const { platform, second, close, body, refusal, retry } = await newOutage();
    t.is(refusal.status, 504, 'it may run, so it is neither accepted nor reported as not run');
    t.not(retry.status, 202, 'the store does not have it yet');
    platform.store.faults.mode = 'well';
    await waitUntil(async () => (await submit(second, 'b1', body)).status === 202);
    const page = await readAllResults(second, 'b1');
    t.true(page.results.every(({ id, text }) => text === expectedTextOf(id)));
    await close();
  },
);

test.serial(
  'a batch that is begun in an outage is run by one host, wherever it comes to',
  async (t) => {
    // The trainer retries its batch on a different host each time. Guards against each of these hosts
    // running it, which would put three times as many items on the same engines.
    const { platform, system, second, close, body } = await newOutage();
    platform.store.faults.mode = 'well';
    await waitUntil(async () => (await submit(second, 'b1', body)).status === 202);
    await readAllResults(second, 'b1');
    const starters = system.hosts.filter(({ events }) =>
      events.some(({ event, batch }) => event === 'item.started' && batch === 'b1'),
    );
    await close();
    t.is(starters.length, 1);
  },
);

test.serial('a host tells operators what it knows of each service', async (t) => {
  const { first, close } = await newSystem(1);
  t.teardown(close);
  t.is((await send(first, 'POST', '/lookup/7', { id: 'q1', body: 'hello' })).status, 200);
  const { body } = await request(`http://${first.metrics}/services`);
  const reports = z.array(serviceReportSchema).parse(await body.json());
  const upstreams = reports.flatMap((report) => report.upstreams);
  t.true(upstreams.length > 0);
  t.true(upstreams.every(({ pace, slots }) => pace > 0 && slots > 0));
});

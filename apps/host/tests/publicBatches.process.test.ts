import { newOperatorSettings } from '@cyclamengate/app-platform-standin/newPlatform';
import test from 'ava';
import { batchBody } from './batchHelpers.js';
import type { ResultPage } from './batchHelpers.js';
import { send, waitUntil } from './newHosts.js';
import { newSystem } from './testSystem.js';

const TEST_TIMEOUT_MS = 40_000;
const UNKNOWN_KEY = 'unknown';

test('a batch of a public route is read and ended with a key, with another, and without', async (t) => {
  // Guards against a trainer that gets 401 or 404 for a batch that was accepted from it.
  t.timeout(TEST_TIMEOUT_MS);
  const { platform, system, first, second, close } = await newSystem(1);
  t.teardown(close);
  const settings = newOperatorSettings(2);
  const routes = settings.routes.map((route) => ({ ...route, public: route.name === 'rounds' }));
  platform.publish('config', { ...settings, routes });
  await waitUntil(() =>
    system.hosts.every(({ events }) =>
      events.some(({ event, version }) => event === 'settings.in-force' && version === 2),
    ),
  );
  const body = batchBody('b', 1, 2);
  t.is((await send(first, 'POST', '/rounds/', { id: 'b', key: null, body })).status, 202);
  for (const key of [undefined, null, UNKNOWN_KEY]) {
    const options = key === undefined ? {} : { key };
    const item = await send(second, 'GET', '/v1/items/b?id=b-0', options);
    // An item that is listed by now need not give its body.
    t.true([200, 404].includes(item.status), `item: ${item.status} ${key}`);
    let page: ResultPage = { total: 0, 'next-token': 0, results: [] };
    await waitUntil(async () => {
      const answer = await send(second, 'GET', '/v1/lots/b?after=0', options);
      t.is(answer.status, 200, String(key));
      page = JSON.parse(answer.body) as ResultPage;
      return page.results.length === page.total;
    });
    t.is(page.total, 2);
    t.is((await send(second, 'DELETE', '/v1/lots/b', options)).status, 200);
  }
  t.is((await send(second, 'GET', '/v1/lots/none', { key: null })).status, 401);
  t.is((await send(second, 'GET', '/v1/lots/none')).status, 404);
});

test('a batch of another route is read with its own key only', async (t) => {
  t.timeout(TEST_TIMEOUT_MS);
  const { first, second, close } = await newSystem(1);
  t.teardown(close);
  const body = batchBody('b', 1, 2);
  t.is((await send(first, 'POST', '/rounds/', { id: 'b', body })).status, 202);
  t.is((await send(second, 'GET', '/v1/lots/b')).status, 200);
  for (const key of [null, UNKNOWN_KEY]) {
    t.is((await send(second, 'GET', '/v1/lots/b', { key })).status, 401);
    t.is((await send(second, 'DELETE', '/v1/lots/b', { key })).status, 401);
  }
});

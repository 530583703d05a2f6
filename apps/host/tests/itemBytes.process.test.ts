import { CUSTOMER_KEY, HOST_NAME } from '@cyclamengate/app-platform-standin/newPlatform';
import test from 'ava';
import { request } from 'undici';
import { batchBody, expectedTextOf, readAllResults, submit } from './batchHelpers.js';
import { sleep, waitUntil } from './newHosts.js';
import type { TestHost } from './newHosts.js';
import { findRunner, newSystem } from './testSystem.js';

const ITEMS = 12;
/** Slow enough that the host is killed midway. */
const SLOWDOWN = 12;
const MIDWAY_MS = 400;

/** All byte values, and text outside of ASCII, starting with what all items have in common. */
const newItemBytes = (index: number): Buffer =>
  Buffer.concat([
    Buffer.from('Präludium ♪ 楽譜 \u{1f3bb}'),
    Buffer.from(Array.from({ length: 256 }, (_, byte) => (byte * 7 + index) % 256)),
  ]);

const bytesOf = (id: string): Buffer => newItemBytes(Number(id.split('-').at(-1)));

const newBody = (name: string): string => {
  const batch = JSON.parse(batchBody(name, 3, 4)) as { entries: { id: string; body: string }[] };
  batch.entries.forEach((entry) =>
    Object.assign(entry, { body: bytesOf(entry.id).toString('base64') }),
  );
  return JSON.stringify(batch);
};

/** The body of an item as a host returns it; null if the item is listed already or not known yet. */
const readItemBytes = async (
  host: TestHost,
  batch: string,
  item: string,
): Promise<Buffer | null> => {
  const answer = await request(`http://${host.callers}/v1/items/${batch}?id=${item}`, {
    reset: true,
    headers: { host: HOST_NAME, 'attempt-id': 'r1', 'x-api-key': CUSTOMER_KEY },
  });
  const bytes = Buffer.from(await answer.body.arrayBuffer());
  return answer.statusCode === 200 ? bytes : null;
};

test.serial('engines and callers get the bytes of an item as its batch brought them', async (t) => {
  // Guards against bodies that change on the way when items are repeated, resumed or taken over.
  const { platform, system, first, second, close } = await newSystem();
  t.teardown(close);
  const [resetting, ...others] = platform.engines;
  if (resetting) resetting.faults.resetAfterEvents = 1;
  others.forEach(({ faults }) => Object.assign(faults, { slowdownFactor: SLOWDOWN }));
  t.is((await submit(first, 'b1', newBody('b1'))).status, 202);
  const runner = await findRunner(system.hosts);
  const reader = runner === second ? first : second;
  let compared = 0;
  for (let index = 0; index < ITEMS; index += 1) {
    const bytes = await readItemBytes(reader, 'b1', `b1-${index}`);
    if (bytes) t.deepEqual(bytes, bytesOf(`b1-${index}`));
    compared += bytes ? 1 : 0;
  }
  t.true(compared > 0);
  await sleep(MIDWAY_MS);
  await runner.end('SIGKILL');
  const page = await readAllResults(reader, 'b1');
  page.results.forEach(({ id, text }) => t.is(text, expectedTextOf(id)));
  const runs = platform.engines.flatMap((engine) => engine.runs);
  runs.forEach(({ requestId, bytes }) => t.deepEqual(bytes, bytesOf(requestId)));
  t.true(runs.length > ITEMS);
  t.true(runs.some(({ lastEventId }) => lastEventId > 0));
  await waitUntil(() =>
    system.hosts.some(
      (host) => host !== runner && host.events.some(({ event }) => event === 'item.started'),
    ),
  );
});

import { MODEL } from '@cyclamengate/app-platform-standin/newPlatform';
import { encodeKeyedBody } from '@cyclamengate/store/newMemoryStore';
import test from 'ava';
import { request } from 'undici';
import { batchBody, readAllResults, submitUntilKnown } from './batchHelpers.js';
import { send, sleep, waitUntil } from './newHosts.js';
import { newSystem } from './testSystem.js';

const TOPIC = 'keyed.servers';
/** Several checks for due weight loads, and reads of the list. */
const SETTLE_MS = 3_000;
/** Orders, a batch and two reads of the list take some seconds. */
const TEST_TIMEOUT_MS = 40_000;
/** More than any stack bears. */
const DEPTH = 100_000;

const nest = (open: string, close: string): string => open.repeat(DEPTH) + close.repeat(DEPTH);

const NESTED = nest('[', ']');

/** The text of an entry; members of `odd` are JSON text, so that any number can be written. */
const entryText = (odd: Record<string, string>): string => {
  const fields: Record<string, string> = {
    service: '"models"',
    address: '"127.0.0.1:9"',
    zone: '"detroit"',
    slots: '8',
    state: '"ready"',
    born: '1',
    models: `[{"name":"${MODEL}","version":1}]`,
    ...odd,
  };
  const members = Object.entries(fields).map(([name, value]) => `"${name}":${value}`);
  return `{${members.join(',')}}`;
};

const ODD_ENTRIES: Record<string, string[]> = {
  'a port out of range': [
    entryText({ address: '"127.0.0.1:99999"' }),
    entryText({ address: '"127.0.0.1:99999"', service: '"portal"' }),
  ],
  'an address out of range': [
    entryText({ address: '"999.0.0.1:80"' }),
    entryText({ address: '"999.0.0.1:80"', service: '"portal"' }),
  ],
  'no port to call': [entryText({ address: '"127.0.0.1:0"' })],
  'a number too large': [
    entryText({ slots: '1e999' }),
    entryText({ slots: '9007199254740991' }),
    entryText({ born: '1e308' }),
    entryText({ seq: '1e308' }),
    entryText({ 'cold-remaining-ms': '1e308' }),
    entryText({ models: `[{"name":"${MODEL}","version":1e308}]` }),
    entryText({ models: `[{"name":"${MODEL}","version":9007199254740991}]` }),
  ],
  'deep nesting': [
    NESTED,
    nest('{"a":', '}').replace('}', '1}'),
    entryText({ slots: NESTED }),
    entryText({ models: NESTED }),
    entryText({ note: NESTED }),
  ],
};

Object.entries(ODD_ENTRIES).forEach(([kind, texts]) => {
  test.serial(`an engine's entry with ${kind} costs itself alone`, async (t) => {
    // Guards against hosts that one odd entry among those of the engines ends, again at each start, or
    // that follow the list no further.
    t.timeout(TEST_TIMEOUT_MS);
    const { platform, system, first, second, close } = await newSystem(1);
    t.teardown(close);
    const countRejected = async (): Promise<number> => {
      const text = await (await request(`http://${first.metrics}/metrics`)).body.text();
      return Number(/^values_unreadable_of_upstreams (\d+)$/m.exec(text)?.[1]);
    };
    const areAlive = (): boolean => system.hosts.every(({ child }) => child.exitCode === null);
    const putOdd = (): void =>
      texts.forEach((text, index) =>
        platform.memory.put(TOPIC, [encodeKeyedBody(`odd-${index}`, text)]),
      );
    putOdd();
    platform.publishVersion(2);
    await sleep(SETTLE_MS);
    t.true(areAlive(), 'hosts that run');
    const late = await system.start('host-late', 'detroit');
    await waitUntil(() => late.events.some(({ event }) => event === 'upstream.listed'));
    putOdd();
    platform.publishVersion(3);
    await waitUntil(() => platform.engines.every(({ versions }) => versions.get(MODEL) === 3));
    t.is((await send(first, 'POST', '/lookup/7', { id: 'l1', body: 'x' })).status, 200);
    t.is((await submitUntilKnown(first, 'b1', batchBody('b1', 4, 4))).status, 202);
    const rejected = first.events.filter(({ event }) => event === 'upstream.unreadable');
    t.true(rejected.length >= texts.length, 'a line for each');
    t.true((await countRejected()) >= texts.length, 'and counted');
    const { results } = await readAllResults(second, 'b1');
    t.true(results.every(({ state }) => state === 'completed'));
    t.true(areAlive());
  });
});

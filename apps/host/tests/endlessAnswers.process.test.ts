import type { EndlessPart } from '@cyclamengate/app-platform-standin/sendWithoutEnd';
import test from 'ava';
import { batchBody, readAllResults, submitUntilKnown } from './batchHelpers.js';
import { newMemorySystem } from './memoryHelpers.js';
import { send, sleep } from './newHosts.js';
import type { TestHost } from './newHosts.js';

const CALLERS = 12;
const ENDLESS_MS = 6_000;
/** The route allows far more; the callers give less. */
const DEADLINE_MS = 1_500;
/** By how much an answer may be over after its deadline, on a machine that is busy. */
const LATE_MS = 1_500;

/** Sends one request; @returns its status, or `cut` if the answer broke off. */
const lookUp = (host: TestHost, id: string): Promise<number | 'cut'> => {
  const headers = { 'deadline-ms': String(DEADLINE_MS) };
  return send(host, 'POST', '/lookup/7', { id, body: 'x', headers }).then(
    ({ status }) => status,
    () => 'cut',
  );
};

/** The longest that a host took for a request, in ms; this process has the upstreams, and stalls. */
const findLongestMs = (hosts: TestHost[]): number =>
  Math.max(
    ...hosts.flatMap(({ events }) =>
      events.filter(({ event }) => event === 'request.done').map(({ tookMs }) => Number(tookMs)),
    ),
  );

const BODY_PARTS: Record<string, EndlessPart[]> = {
  head: ['head'],
  body: ['body'],
  chunks: ['chunks'],
};

/** Of several parts each upstream has one. */
const PLAIN_PARTS: Record<string, EndlessPart[]> = {
  ...BODY_PARTS,
  'line or a size': ['lines', 'interim', 'size'],
  'chunk extension or a trailer': ['extension', 'trailers'],
};

const STREAM_PARTS: Record<string, EndlessPart[]> = {
  ...BODY_PARTS,
  'line, a size or an extension': ['lines', 'interim', 'size', 'extension', 'trailers'],
  event: ['event'],
};

interface Upstream {
  faults: { endlessPart: EndlessPart | null };
}

const setEndless = (upstreams: Upstream[], parts: EndlessPart[]): void =>
  upstreams.forEach(({ faults }, index) =>
    Object.assign(faults, { endlessPart: parts[index % parts.length] ?? null }),
  );

Object.entries(PLAIN_PARTS).forEach(([name, parts]) => {
  test.serial(`bytes without end in a ${name} of a plain answer end no host`, async (t) => {
    // Guards against hosts that collect what an upstream sends until they are ended, and callers that
    // wait for the end of it.
    const { platform, system, first, checkHosts } = await newMemorySystem(t);
    setEndless(platform.plain, parts);
    const until = Date.now() + ENDLESS_MS;
    const statuses = new Set<number | 'cut'>();
    const call = async (caller: number): Promise<void> => {
      for (let count = 0; Date.now() < until; count += 1) {
        const host = system.hosts[(caller + count) % system.hosts.length] as TestHost;
        statuses.add(await lookUp(host, `endless-${caller}-${count}`));
      }
    };
    await Promise.all(Array.from({ length: CALLERS }, (_, caller) => call(caller)));
    t.false(statuses.has(200), 'no such answer is whole');
    t.true(findLongestMs(system.hosts) < DEADLINE_MS + LATE_MS);
    checkHosts();
    setEndless(platform.plain, []);
    await sleep(DEADLINE_MS);
    t.is((await send(first, 'POST', '/lookup/7', { id: 'sound', body: 'x' })).status, 200);
  });
});

Object.entries(STREAM_PARTS).forEach(([name, parts]) => {
  test.serial(`bytes without end in a ${name} of a stream end no host, and no item`, async (t) => {
    // Guards against hosts that collect what an engine sends until they are ended, and items that wait
    // for the end of it.
    const { platform, second, first, checkHosts } = await newMemorySystem(t);
    setEndless(platform.engines, parts);
    t.is((await submitUntilKnown(first, 'b1', batchBody('b1', 4, 4))).status, 202);
    await sleep(ENDLESS_MS);
    checkHosts();
    setEndless(platform.engines, []);
    const page = await readAllResults(second, 'b1');
    t.true(page.results.every(({ state }) => state === 'completed'));
    checkHosts();
  });
});

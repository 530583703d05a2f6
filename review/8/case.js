/**
 * One engine of six goes dark while it sends streams that can't be resumed. When a stream has lasted
 * as long as its route's timeout, its client must get a final answer within half a second.
 */
import { hasTrouble, runCase } from '../standins-2/runCase.js';
import readStream from '../standins-2/readStream.js';
import { newStreamEngine } from '../standins-2/servers.js';
import { newManifest, newSystem, sleep } from '../standins-2/system.js';

const DOMAINS = ['detroit', 'cleveland', 'milwaukee'];
const ENGINES = 6;
const SLOTS = 8;
const EVENTS = 24;
const EVENT_MS = 100;
const TIMEOUT_MS = 3_000;
/** When an engine goes dark, after the streams of a round began, and for how long. */
const DARK_AFTER_MS = 1_900;
const DARK_MS = 4_500;
const ROUNDS = 2;
/** What the rule says. */
const GRACE_MS = 500;
const LEAST_LATE = 8;
const SHARE_LATE = 0.25;

await runCase(import.meta.url, async (record) => {
  const manifest = newManifest(1, { letters: { 'timeout-ms': TIMEOUT_MS } });
  const system = await newSystem({ count: 3, manifest });
  const engines = [];
  try {
    for (let index = 0; index < ENGINES; index += 1) {
      const engine = { isDark: false, running: new Set() };
      const server = await newStreamEngine(`engine-${index}`, {
        events: EVENTS,
        eventMs: EVENT_MS,
        isDark: () => engine.isDark,
        onEvent: (id, event) => {
          if (event === EVENTS) engine.running.delete(id);
          else engine.running.add(id);
        },
      });
      Object.assign(engine, server);
      engines.push(engine);
      system.list(engine.id, {
        service: 'assist',
        address: engine.address,
        zone: DOMAINS[index % DOMAINS.length],
        slots: SLOTS,
        models: [{ name: 'wear', version: 1, adapters: [] }],
      });
    }
    await system.waitUntilReady();
    await sleep(3_500);
    const all = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const streams = Array.from({ length: ENGINES * SLOTS }, async (_, index) => {
        await sleep(index * 5);
        return readStream({
          target: system.hosts[index % system.hosts.length],
          path: '/letter/1',
          id: `r${round}s${index}`,
          budgetMs: 10_000,
        });
      });
      await sleep(DARK_AFTER_MS);
      if (hasTrouble) {
        const engine = engines[round];
        record(`${engine.id} goes dark with ${engine.running.size} streams`);
        engine.isDark = true;
        await sleep(DARK_MS);
        engine.crash();
        engine.isDark = false;
        engine.running.clear();
        record(`${engine.id} is back`);
      }
      all.push(...(await Promise.all(streams)));
      await sleep(6_000);
    }
    let lasting = 0;
    let late = 0;
    let failed = 0;
    all.forEach(({ id, sentAt, status, events, end, endedAt }) => {
      const tookMs = endedAt - sentAt;
      const isLate = tookMs > TIMEOUT_MS + GRACE_MS;
      if (tookMs > TIMEOUT_MS) lasting += 1;
      if (isLate) late += 1;
      if (end !== 'whole') {
        failed += 1;
        record(
          `${id}: ${status}, ${events} events, ${end} after ${tookMs} ms${isLate ? ' LATE' : ''}`,
        );
      }
    });
    record(
      `${lasting} of ${all.length} streams lasted longer than ${TIMEOUT_MS} ms; ` +
        `${late} of them had no end ${GRACE_MS} ms later`,
    );
    if (!hasTrouble) return failed === 0;
    if (failed === 0) return null;
    return late < LEAST_LATE || late <= SHARE_LATE * lasting;
  } finally {
    await system.close();
    engines.forEach(({ close }) => close());
  }
});

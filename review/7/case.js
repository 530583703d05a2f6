/**
 * Half of the channels of one host are reset while clients read streams that may be resumed. Each
 * client resumes after its last event. No success may come without the engine's stamp.
 */
import { hasTrouble, runCase } from '../standins-2/runCase.js';
import newResettingProxy from '../standins-2/newResettingProxy.js';
import readStream from '../standins-2/readStream.js';
import { newStreamEngine } from '../standins-2/servers.js';
import { newManifest, newSystem, sleep } from '../standins-2/system.js';

const DOMAINS = ['detroit', 'cleveland', 'milwaukee'];
/** So that one of them is the share of machines that the pages give. */
const HOSTS = 10;
const EVENTS = 8;
const EVENT_MS = 40;
const ROUNDS = 10;
/** Streams of a round: as many as the engines have slots. */
const STREAMS = 24;
const BUDGET_MS = 10_000;

await runCase(import.meta.url, async (record) => {
  const system = await newSystem({ count: HOSTS, manifest: newManifest(1) });
  const upstreams = [];
  let proxy = null;
  try {
    for (const [index, zone] of DOMAINS.entries()) {
      const engine = await newStreamEngine(`engine-${index}`, {
        events: EVENTS,
        eventMs: EVENT_MS,
      });
      upstreams.push(engine);
      system.list(engine.id, {
        service: 'assist',
        address: engine.address,
        zone,
        slots: 8,
        models: [{ name: 'wear', version: 1, adapters: [] }],
      });
    }
    await system.waitUntilReady();
    await sleep(2_000);
    const [first, second] = system.hosts;
    proxy = await newResettingProxy(first);
    let broken = 0;
    let resumed = 0;
    let failed = 0;
    const judge = (seen, from) => {
      const isSuccess = seen.status !== null && seen.status < 300;
      const isBroken = isSuccess && seen.stamp === null;
      if (isBroken) broken += 1;
      if (from !== null || isBroken) {
        record(
          `${seen.id} after event ${from ?? 0}: ${seen.status}, stamp ${seen.stamp ?? 'none'}, ` +
            `${seen.events} events, ${seen.end}${isBroken ? ' MIXED' : ''}`,
        );
      }
    };
    const play = async (name, delayMs) => {
      await sleep(delayMs);
      const seen = await readStream({
        target: proxy,
        path: '/advice/1',
        id: name,
        budgetMs: BUDGET_MS,
      });
      judge(seen, null);
      if (seen.end === 'whole') return;
      if (seen.lastEventId === 0 || !hasTrouble) {
        failed += 1;
        return;
      }
      resumed += 1;
      const { lastEventId } = seen;
      const again = await readStream({
        target: second,
        path: '/advice/1',
        id: `${name}-again`,
        lastEventId,
        budgetMs: BUDGET_MS,
      });
      judge(again, lastEventId);
    };
    for (let round = 0; round < ROUNDS; round += 1) {
      const spanMs = (EVENTS + 1) * EVENT_MS;
      const streams = Array.from({ length: STREAMS }, (_, index) =>
        play(`r${round}s${index}`, (index * spanMs) / STREAMS),
      );
      // Later than the first stream's end, so that streams of every age are open, on a slow machine too.
      await sleep(1.5 * spanMs);
      if (hasTrouble) record(`round ${round}: ${proxy.resetHalf()} channels were reset`);
      await Promise.all(streams);
    }
    record(`${resumed} streams were resumed, ${failed} failed otherwise`);
    record(`${broken} successes came without a stamp`);
    if (hasTrouble && resumed === 0) return null;
    return broken === 0 && (hasTrouble || failed === 0);
  } finally {
    proxy?.close();
    await system.close();
    upstreams.forEach(({ close }) => close());
  }
});

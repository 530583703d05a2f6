/**
 * Engines send a few of their answers a second time, late, where the next answer on the channel is
 * expected. That next answer is at times that to an order of new weights, or to the question before it.
 * No caller may get a success without the engine's stamp.
 */
import { hasTrouble, runCase } from '../standins-2/runCase.js';
import newChannelEngine from '../standins-2/newChannelEngine.js';
import readStream from '../standins-2/readStream.js';
import { newManifest, newSystem, sleep } from '../standins-2/system.js';

const DOMAINS = ['detroit', 'cleveland', 'milwaukee'];
const ENGINES = 6;
const SLOTS = 8;
const EVENTS = 5;
const EVENT_MS = 20;
const ANSWER_MS = 30;
const CLIENTS = 24;
const PAUSE_MS = 20;
const VERSIONS = 9;
const VERSION_EVERY_MS = 6_000;
/**
 * The largest share of answers that a site doubles, and of engines that do so, and for how long. It
 * comes once for each version, which is named in the middle of it.
 */
const EXTRA_SHARE = 0.03;
const ENGINE_SHARE = 0.6;
const EXTRA_MS = 5_000;

await runCase(import.meta.url, async (record) => {
  const system = await newSystem({ count: 3, manifest: newManifest(1) });
  const engines = [];
  const garble = { isOn: false };
  try {
    for (let index = 0; index < ENGINES; index += 1) {
      const isFaulty = hasTrouble && index < Math.floor(ENGINES * ENGINE_SHARE);
      engines.push(
        await newChannelEngine(`engine-${index}`, {
          model: 'wear',
          events: EVENTS,
          eventMs: EVENT_MS,
          answerMs: ANSWER_MS,
          maySendExtra: ({ answers, extras }) =>
            isFaulty && garble.isOn && extras + 1 <= EXTRA_SHARE * answers,
        }),
      );
    }
    const list = () =>
      engines.forEach((engine, index) =>
        system.list(engine.id, {
          born: 1,
          service: 'assist',
          address: engine.address,
          zone: DOMAINS[index % DOMAINS.length],
          slots: SLOTS,
          models: [{ name: 'wear', version: engine.readVersion(), adapters: [] }],
        }),
      );
    list();
    const timer = setInterval(list, 300);
    await system.waitUntilReady();
    await sleep(4_000);
    const endsAt = Date.now() + (VERSIONS - 1) * VERSION_EVERY_MS + EXTRA_MS / 2;
    let answered = 0;
    let broken = 0;
    let failed = 0;
    const play = async (number) => {
      let count = 0;
      while (Date.now() < endsAt) {
        count += 1;
        const seen = await readStream({
          target: system.hosts[number % system.hosts.length],
          path: '/advice/1',
          id: `c${number}s${count}`,
          budgetMs: 5_000,
        });
        if (seen.status !== null && seen.status < 300) {
          answered += 1;
          if (seen.stamp === null) {
            broken += 1;
            record(
              `${seen.id}: ${seen.status} without a stamp, ${seen.events} events, ${seen.end}; ` +
                `it begins with ${JSON.stringify(seen.beginning)}`,
            );
          }
        } else failed += 1;
        await sleep(PAUSE_MS);
      }
    };
    const clients = Array.from({ length: CLIENTS }, (_, number) => play(number));
    for (let version = 2; version <= VERSIONS; version += 1) {
      await sleep(VERSION_EVERY_MS - EXTRA_MS);
      engines.forEach(({ restartCounts }) => restartCounts());
      garble.isOn = true;
      await sleep(EXTRA_MS / 2);
      system.platform.publish('version/wear', { model: 'wear', version });
      await sleep(EXTRA_MS / 2);
      garble.isOn = false;
      engines.forEach(({ id, counts }) => {
        if (counts.extras > 0) {
          record(`${id} doubled ${counts.extras} of ${counts.answers} answers in ${EXTRA_MS} ms`);
        }
      });
    }
    await Promise.all(clients);
    clearInterval(timer);
    engines.forEach(({ id, readVersion }) => record(`${id} has version ${readVersion()}`));
    record(`${answered} streams were answered, ${failed} not; ${broken} came without a stamp`);
    if (answered === 0) return null;
    return broken === 0;
  } finally {
    await system.close();
    engines.forEach(({ close }) => close());
  }
});

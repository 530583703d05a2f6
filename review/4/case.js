/**
 * One engine of six crashes while it runs items. Its answers end with their channel, and the crash
 * closes the channels in the middle of an event. No result may be listed as completed without its
 * whole text.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { endWithCase, hasTrouble, runCase } from '../standins-2/runCase.js';
import { call, newManifest, newSystem, sleep } from '../standins-2/system.js';

const ENGINES = 6;
const SLOTS = 8;
const EVENTS = 20;
const EVENT_MS = 60;
const ITEMS = 48;
const ENGINE_PROGRAM = fileURLToPath(new URL('../standins-2/engine.js', import.meta.url));
const DOMAINS = ['detroit', 'cleveland', 'milwaukee'];

const newBatch = (number) => ({
  'train-step': number,
  model: 'wear',
  'min-version': 1,
  desired: ITEMS / 4,
  entries: Array.from({ length: ITEMS }, (_, index) => ({
    id: `b${number}i${index}`,
    path: `/rounds/${number}/${index}`,
    headers: {
      Model: 'wear',
      'Token-Count': '16,1260',
      'Prompt-Prefix': `a${number}:16,b${index}:1`,
    },
    body: Buffer.from(`item ${index}`).toString('base64'),
    tokens: 1_276,
    group: `b${number}g${Math.floor(index / 4)}`,
  })),
});

const wholeText = (item) =>
  Array.from({ length: EVENTS }, (_, index) => `${item} says ${index + 1} of ${EVENTS}`).join('\n');

await runCase(import.meta.url, async (record) => {
  const system = await newSystem({ count: 3, manifest: newManifest(1) });
  const engines = [];
  /** By item, what its engine did last. */
  const last = new Map();
  try {
    for (let index = 0; index < ENGINES; index += 1) {
      const id = `engine-${index}`;
      const child = endWithCase(
        spawn(process.execPath, [ENGINE_PROGRAM, id, EVENTS, EVENT_MS], {
          stdio: ['ignore', 'pipe', 'inherit'],
        }),
      );
      const engine = { id, child, running: new Set() };
      engines.push(engine);
      const lines = createInterface({ input: child.stdout });
      const listening = new Promise((resolve) => {
        lines.on('line', (line) => {
          const message = JSON.parse(line);
          if (message.did === 'listening') resolve(message.port);
          else {
            last.set(message.item, message);
            if (message.did === 'began') {
              engine.running.add(message.item);
              record(`${id} began ${message.item} from event ${message.from}`);
            }
            if (message.did === 'ended') {
              engine.running.delete(message.item);
              record(`${id} ended ${message.item}`);
            }
          }
        });
      });
      system.list(id, {
        service: 'assist',
        address: `127.0.0.1:${await listening}`,
        zone: DOMAINS[index % DOMAINS.length],
        slots: SLOTS,
        models: [{ name: 'wear', version: 1, adapters: [] }],
      });
    }
    await system.waitUntilReady();
    await sleep(2_000);
    const [first] = system.hosts;
    const sent = await call(
      first,
      'POST',
      '/rounds/step-1',
      { 'attempt-id': 'step-1', 'content-type': 'application/json' },
      JSON.stringify(newBatch(1)),
    );
    record(`batch step-1 was answered ${sent.status}`);
    if (sent.status !== 202) return null;
    /** Items that the crash cut off in the middle of an event. */
    const cut = new Map();
    if (hasTrouble) {
      const isBusy = ({ running }) =>
        [...running].filter((item) => last.get(item).event >= 3).length >= 4;
      const deadline = Date.now() + 20_000;
      while (!engines.some(isBusy) && Date.now() < deadline) await sleep(5);
      const victim = engines.find(isBusy);
      if (!victim) return null;
      const exited = once(victim.child, 'close');
      victim.child.kill('SIGKILL');
      await exited;
      victim.running.forEach((item) => {
        const { did, event } = last.get(item);
        if (did === 'half') cut.set(item, event);
        record(
          `${victim.id} crashed: ${item} ${did === 'half' ? 'within' : 'after'} event ${event}`,
        );
      });
      if (cut.size === 0) return null;
    }
    const results = [];
    const deadline = Date.now() + 40_000;
    while (results.length < ITEMS && Date.now() < deadline) {
      const page = await call(system.hosts[1], 'GET', `/v1/lots/step-1?after=${results.length}`, {
        'wait-ms': '1000',
      });
      if (page.status === 200) results.push(...JSON.parse(page.text).results);
      await sleep(100);
    }
    record(`${results.length} of ${ITEMS} results were read`);
    let broken = 0;
    let unwhole = 0;
    results.forEach(({ id, state, text }) => {
      if (state !== 'completed' || text === wholeText(id)) return;
      const lines = text.split('\n').length;
      const isWithin = cut.has(id);
      if (isWithin) broken += 1;
      else unwhole += 1;
      record(
        `${id} is listed as completed with ${lines} of ${EVENTS} events; ` +
          `its engine was ${isWithin ? `cut off within event ${cut.get(id)}` : 'not cut off within an event'}`,
      );
    });
    record(
      `${broken} completed results end where their engine was cut off within an event; ` +
        `${unwhole} others are not whole and don't count`,
    );
    return broken === 0 && (hasTrouble || unwhole === 0);
  } finally {
    engines.forEach(({ child }) => child.kill('SIGKILL'));
    await system.close();
  }
});

/**
 * A trainer submits a step whose body is within the operator's limit, and sends it again after each
 * failure as the pages say. Hosts are counted that end by themselves or exceed their memory.
 */
import startEngine from '../standins/engine.js';
import { isReady, send, startHosts } from '../standins/hosts.js';
import startPlatform from '../standins/platform.js';
import { hasTrouble, runCase, sleep } from '../standins/record.js';
import { callHeaders, MODEL, newManifest, ZONES } from '../standins/site.js';

const ENGINES_PER_ZONE = 2;
const ITEMS = 512;
const GROUP_SIZE = 8;
const LARGE_BODY_BYTES = 45_000;
const USUAL_BODY_BYTES = 600;
const MEMORY_MB = 390;
const STEPS = 3;
const STEP_MS = 12_000;
const RETRY_MS = 1_200;
const MIN_MACHINES = 2;
const MIN_ENDS = 3;

const newStep = (step, bodyBytes) => ({
  'train-step': step,
  model: MODEL,
  'min-version': 1,
  desired: ITEMS / GROUP_SIZE,
  entries: Array.from({ length: ITEMS }, (_, index) => {
    const group = `s${step}-g${Math.floor(index / GROUP_SIZE)}`;
    const id = `${group}-${index % GROUP_SIZE}`;
    return {
      id,
      path: `/rounds/${id}`,
      headers: {
        Model: MODEL,
        'Token-Count': '15000,1600',
        'Prompt-Prefix': `${step}a${index}:15000`,
      },
      body: Buffer.alloc(bodyBytes, `prompt of ${id} `).toString('base64'),
      tokens: 16_600,
      group,
      scorer: { id: `r-${id}`, host: 'parts.example', path: `/score/${id}`, body: '' },
    };
  }),
});

const play = async (record) => {
  const engines = await Promise.all(
    ZONES.flatMap((zone) =>
      Array.from({ length: ENGINES_PER_ZONE }, (_, index) =>
        startEngine(record, {
          id: `engine-${zone}-${index}`,
          model: MODEL,
          zone,
          slots: 8,
          eventMs: 46,
          countEvents: () => 20,
          isQuiet: true,
        }),
      ),
    ),
  );
  const platform = await startPlatform(record, engines, ZONES);
  const manifest = newManifest();
  platform.publish('config', manifest);
  let system = null;
  try {
    system = await startHosts(record, platform, ZONES, MEMORY_MB);
    const { hosts } = system;
    await sleep(4_000);
    let turn = 0;
    /** The platform leads each new channel to a host that is ready. */
    const chooseHost = async () => {
      for (;;) {
        turn += 1;
        const host = hosts[turn % hosts.length];
        if (await isReady(host.ready)) return host;
        await sleep(50);
      }
    };
    for (let step = 1; step <= STEPS; step += 1) {
      const id = `lot${step}`;
      const text = JSON.stringify(
        newStep(step, hasTrouble() ? LARGE_BODY_BYTES : USUAL_BODY_BYTES),
      );
      const limit = manifest.limits['max-body-bytes'];
      if (text.length > limit) throw new Error('larger than the limit');
      record.add(`${id}: ${text.length} bytes, limit ${limit}`);
      const deadline = record.now() + STEP_MS;
      let isAccepted = false;
      while (!isAccepted && record.now() < deadline) {
        const host = await chooseHost();
        const { status } = await send(host, 'POST', `/rounds/${id}`, callHeaders(id), text);
        record.add(`${id} submitted to ${host.name}: ${status ?? 'no answer'}`);
        isAccepted = status === 202;
        if (!isAccepted) await sleep(RETRY_MS);
      }
    }
    hosts.forEach(({ name, ownEnds, peakMb }) =>
      record.add(`${name}: ${ownEnds} ends of its own, at most ${Math.round(peakMb)} MB`),
    );
    return hosts.filter(({ ownEnds }) => ownEnds >= MIN_ENDS).length >= MIN_MACHINES;
  } finally {
    await system?.close();
    await platform.close();
  }
};

await runCase(new URL('.', import.meta.url), play);

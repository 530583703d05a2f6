/**
 * A host gets SIGTERM while it serves a long stream. Clients that have kept their channels to it send
 * lookups while it drains. It must not pass a lookup on and then close the channel without an answer.
 */
import { once } from 'node:events';
import { Agent, request as httpRequest } from 'node:http';
import { hasTrouble, runCase } from '../standins-2/runCase.js';
import { newDesk, newStreamEngine } from '../standins-2/servers.js';
import { GRACE_MS, HOST_NAME, KEY, newManifest, newSystem, sleep } from '../standins-2/system.js';

const CLIENTS = 60;
const DOMAINS = ['detroit', 'cleveland', 'milwaukee'];
/** Within what the sheet says of the work of lookups. */
const MIN_WORK_MS = 25;
const MAX_WORK_MS = 190;
const BUDGET_MS = 1_500;
/** The stream goes on beyond the time that the host has. */
const EVENTS = 95;
const EVENT_MS = 100;
/** The rule excuses what was sent earlier and is still at work at the end. */
const EXCUSED_MS = 3_000;
/** When the lookups are sent, in milliseconds after the SIGTERM. */
const FIRST_MS = 6_200;
const LAST_MS = 7_500;

const send = ({ host, agent, path, id, budgetMs, onData = () => {} }) =>
  new Promise((resolve) => {
    const sentAt = Date.now();
    const request = httpRequest(
      {
        host: host.address,
        port: host.port,
        agent,
        method: 'POST',
        path,
        headers: {
          host: HOST_NAME,
          'x-api-key': KEY,
          'attempt-id': id,
          'deadline-ms': String(budgetMs),
          'content-length': '4',
        },
      },
      (response) => {
        response.on('data', onData);
        response.on('end', () =>
          resolve({
            id,
            sentAt,
            status: response.statusCode,
            stamp: response.headers['server-stamp'],
          }),
        );
        response.on('error', (error) => resolve({ id, sentAt, cut: error.code ?? error.message }));
      },
    );
    request.on('error', (error) => resolve({ id, sentAt, cut: error.code ?? error.message }));
    request.end('body');
  });

await runCase(import.meta.url, async (record) => {
  const system = await newSystem({ count: 3, manifest: newManifest(1) });
  const upstreams = [];
  /** When a service began each lookup, and when it is done with it. */
  const runs = new Map();
  let seed = 7;
  const random = () => {
    seed = (seed * 16_807) % 2_147_483_647;
    return seed / 2_147_483_647;
  };
  const onRun = (id) => {
    const workMs = Math.round(MIN_WORK_MS + random() * (MAX_WORK_MS - MIN_WORK_MS));
    const now = Date.now();
    runs.set(id, { beganAt: now, doneAt: now + workMs });
    return workMs;
  };
  try {
    for (const [index, zone] of DOMAINS.entries()) {
      const desk = await newDesk(`desk-${index}`, onRun);
      const engine = await newStreamEngine(`engine-${index}`, {
        events: EVENTS,
        eventMs: EVENT_MS,
      });
      upstreams.push(desk, engine);
      system.list(desk.id, { service: 'desk', address: desk.address, zone, slots: 6 });
      system.list(engine.id, {
        service: 'assist',
        address: engine.address,
        zone,
        slots: 8,
        models: [{ name: 'wear', version: 1, adapters: [] }],
      });
    }
    await system.waitUntilReady();
    await sleep(3_500);
    const [host] = system.hosts;
    const exited = once(host.child, 'exit').then(([code, signal]) => {
      record(`${host.name} ended (${signal ?? code})`);
    });
    const agents = Array.from(
      { length: CLIENTS },
      () => new Agent({ keepAlive: true, maxSockets: 1 }),
    );
    const opened = await Promise.all(
      agents.map((agent, index) =>
        sleep(index * 15).then(() =>
          send({ host, agent, path: '/lookup/1', id: `open-${index}`, budgetMs: BUDGET_MS }),
        ),
      ),
    );
    const served = opened.filter(({ status }) => status === 200).length;
    record(`${served} of ${CLIENTS} clients were answered on channels that they keep`);
    if (served < CLIENTS / 2) return null;
    const streamAgent = new Agent({ keepAlive: true, maxSockets: 1 });
    let streamed = 0;
    const stream = send({
      host,
      agent: streamAgent,
      path: '/letter/1',
      id: 'letter',
      budgetMs: 10_000,
      onData: () => {
        streamed += 1;
      },
    });
    await sleep(500);
    if (streamed === 0) return null;
    const termAt = Date.now();
    if (hasTrouble) {
      host.child.kill('SIGTERM');
      record(`SIGTERM to ${host.name}, ${streamed} events into the stream`);
      sleep(GRACE_MS).then(() => host.child.kill('SIGKILL'));
    }
    const answers = await Promise.all(
      agents.map(async (agent, index) => {
        await sleep(FIRST_MS + ((LAST_MS - FIRST_MS) * index) / CLIENTS);
        return send({ host, agent, path: '/lookup/1', id: `kept-${index}`, budgetMs: BUDGET_MS });
      }),
    );
    if (hasTrouble) await exited;
    let broken = 0;
    answers.forEach(({ id, sentAt, status, stamp, cut }) => {
      const run = runs.get(id);
      const at = sentAt - termAt;
      const outcome = cut ? `channel closed (${cut})` : `${status} ${stamp ?? 'without a stamp'}`;
      const passedOn = run ? `passed on ${run.beganAt - sentAt} ms later` : 'not passed on';
      const isBroken = cut !== undefined && run !== undefined && at > EXCUSED_MS;
      if (isBroken) broken += 1;
      record(
        `${id} sent ${at} ms after the SIGTERM, ${passedOn}: ${outcome}${isBroken ? ' LOST' : ''}`,
      );
    });
    record(`${broken} lookups were passed on and lost with their channel`);
    const failed = answers.filter(({ status }) => status !== 200).length;
    stream.catch(() => {});
    return hasTrouble ? broken === 0 : failed === 0;
  } finally {
    await system.close();
    upstreams.forEach(({ close }) => close());
  }
});

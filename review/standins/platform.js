/** The platform's store, its API for duties, a plain service, and the entries of all engines. */
import newPlainServer from '@cyclamengate/app-platform-standin/newPlainServer';
import { createServer } from 'node:http';
import { encodeKeyed, startStore } from './store.js';

const HEARTBEAT_MS = 1_200;
const MISSED_HEARTBEATS = 3;

/** @param engines model engines of `startEngine` */
const startPlatform = async (record, engines, zones, { retentionMs } = {}) => {
  const store = await startStore(retentionMs);
  /** Calls for duties, in the order of their arrival. */
  const calls = [];
  const duties = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      calls.push({
        at: record.now(),
        path: request.url,
        holder: request.headers['duty-holder'],
        token: Number(request.headers['fencing-token']),
        body: Buffer.concat(chunks).toString(),
      });
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': '2' });
      response.end('{}');
    });
  });
  await new Promise((resolve) => {
    duties.listen(0, '127.0.0.1', resolve);
  });
  const plain = await Promise.all(
    zones.map(async (zone) => ({ zone, ...(await newPlainServer(`portal-${zone}`)) })),
  );
  const born = Date.now();
  const missed = new Map();
  const put = (topic, key, value) =>
    store.put(topic, [encodeKeyed(key, value === null ? '' : JSON.stringify(value))]);

  const writeEntry = (engine) => {
    if (engine.isUp()) {
      put('keyed.servers', engine.id, engine.describe());
      return;
    }
    const count = (missed.get(engine.id) ?? 0) + 1;
    missed.set(engine.id, count);
    if (count === MISSED_HEARTBEATS) put('keyed.servers', engine.id, null);
  };
  const writeEntries = () => {
    engines.forEach(writeEntry);
    plain.forEach(({ id, zone, address }) =>
      put('keyed.servers', id, {
        service: 'member-portal',
        address,
        zone,
        version: 'v1',
        slots: 6,
        state: 'ready',
        'cold-remaining-ms': 0,
        born,
      }),
    );
  };
  writeEntries();
  const timer = setInterval(writeEntries, HEARTBEAT_MS);
  return {
    storeAddress: store.address,
    dutiesAddress: `127.0.0.1:${duties.address().port}`,
    plain,
    calls,
    slowDown: store.slowDown,
    publish: (key, value) => put('keyed.op', key, value),
    close: async () => {
      clearInterval(timer);
      duties.close();
      duties.closeAllConnections();
      engines.forEach(({ stop }) => stop());
      await Promise.all([store, ...plain].map(({ close }) => close()));
    },
  };
};
export default startPlatform;

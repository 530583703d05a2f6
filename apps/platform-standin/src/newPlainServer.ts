import listenOnLoopback from './listenOnLoopback.js';
import type { LoopbackServer } from './listenOnLoopback.js';
import { readAll } from './readAll.js';

const WORK_MS = 10;

export interface PlainServer extends LoopbackServer {
  id: string;
  faults: { isDark: boolean; isFull: boolean };
  runs: { requestId: string; customer: string | null; key: string | null }[];
}

/** An upstream of a plain service. */
const newPlainServer = async (id: string): Promise<PlainServer> => {
  const faults = { isDark: false, isFull: false };
  const runs: PlainServer['runs'] = [];
  const listening = await listenOnLoopback((request, response) => {
    if (faults.isDark) return;
    if (faults.isFull) {
      response.writeHead(503, { 'not-executed': '1', 'content-length': '0' });
      response.end();
      return;
    }
    const { headers } = request;
    const requestId = String(headers['attempt-id'] ?? '');
    const customer = headers.tenant === undefined ? null : String(headers.tenant);
    const key = headers['x-api-key'] === undefined ? null : String(headers['x-api-key']);
    runs.push({ requestId, customer, key });
    readAll(request).then((body) =>
      setTimeout(() => {
        response.writeHead(200, {
          'attempt-id': requestId,
          'server-stamp': `${id}.${requestId}`,
          'instance-load': '1,0,6',
          'content-length': String(body.length),
        });
        response.end(body);
      }, WORK_MS),
    );
  });
  return { ...listening, id, faults, runs };
};

export default newPlainServer;

import listenOnLoopback from './listenOnLoopback.js';
import type { LoopbackServer } from './listenOnLoopback.js';
import { readBody } from './httpBodies.js';

const RESPONSE_DELAY_MS = 10;

export interface PlainServer extends LoopbackServer {
  id: string;
  faults: { isUnresponsive: boolean; isOverloaded: boolean };
  runs: { requestId: string; customer: string | null; key: string | null }[];
}

/** An upstream of a plain service; it responds with the request's body. */
const newPlainServer = async (id: string): Promise<PlainServer> => {
  const faults = { isUnresponsive: false, isOverloaded: false };
  const runs: PlainServer['runs'] = [];
  const loopback = await listenOnLoopback((request, response) => {
    if (faults.isUnresponsive) return;
    if (faults.isOverloaded) {
      response.writeHead(503, { 'not-executed': '1', 'content-length': '0' });
      response.end();
      return;
    }
    const { headers } = request;
    const requestId = String(headers['attempt-id'] ?? '');
    const customer = headers.tenant === undefined ? null : String(headers.tenant);
    const key = headers['x-api-key'] === undefined ? null : String(headers['x-api-key']);
    runs.push({ requestId, customer, key });
    readBody(request).then((body) =>
      setTimeout(() => {
        response.writeHead(200, {
          'attempt-id': requestId,
          'server-stamp': `${id}.${requestId}`,
          'instance-load': '1,0,6',
          'content-length': String(body.length),
        });
        response.end(body);
      }, RESPONSE_DELAY_MS),
    );
  });
  return { ...loopback, id, faults, runs };
};

export default newPlainServer;

/** A client of streams: reads events as they arrive, and leaves a stream that is silent for too long. */
import { request as httpRequest } from 'node:http';
import { HOST_NAME, KEY } from './system.js';

const BEGINNING = 60;

/**
 * @param target address and port of a host, or of a proxy before it
 * @param patienceMs after a gap as long as this the client leaves
 * @returns what the client has seen
 */
const readStream = ({ target, path, id, lastEventId, budgetMs, patienceMs = 2_000 }) =>
  new Promise((resolve) => {
    const seen = {
      id,
      sentAt: Date.now(),
      status: null,
      stamp: null,
      lastEventId: lastEventId ?? 0,
      /** The first characters of the answer. */
      beginning: '',
      /** Of this answer alone. */
      events: 0,
      /** How it ended: `whole`, `cut` or `left`. */
      end: null,
      endedAt: null,
    };
    let patience;
    let pending = '';
    const finish = (end) => {
      if (seen.end !== null) return;
      clearTimeout(patience);
      seen.end = end;
      seen.endedAt = Date.now();
      resolve(seen);
    };
    const request = httpRequest({
      host: target.address,
      port: target.port,
      agent: false,
      method: 'POST',
      path,
      headers: {
        host: HOST_NAME,
        'x-api-key': KEY,
        'attempt-id': id,
        'deadline-ms': String(budgetMs),
        'content-length': '4',
        ...(lastEventId === undefined ? {} : { 'last-event-id': String(lastEventId) }),
      },
    });
    const wait = () => {
      clearTimeout(patience);
      patience = setTimeout(() => {
        finish('left');
        request.destroy();
      }, patienceMs);
    };
    request.on('response', (response) => {
      seen.status = response.statusCode;
      seen.stamp = response.headers['server-stamp'] ?? null;
      response.setEncoding('utf8');
      response.on('data', (text) => {
        wait();
        seen.beginning = (seen.beginning + text).slice(0, BEGINNING);
        const parts = (pending + text).split('\n\n');
        pending = parts.pop();
        parts.forEach((part) => {
          seen.lastEventId = Number(/^id: (\d+)$/m.exec(part)?.[1] ?? seen.lastEventId);
          seen.events += 1;
        });
      });
      response.on('end', () => finish('whole'));
      response.on('error', () => finish('cut'));
    });
    request.on('error', () => finish('cut'));
    wait();
    request.end('body');
  });

export default readStream;

import type { ServerResponse } from 'node:http';
import listenOnLoopback from './listenOnLoopback.js';
import type { LoopbackServer } from './listenOnLoopback.js';
import { readBody } from './httpBodies.js';
import sendWithoutEnd from './sendWithoutEnd.js';
import type { EndlessPart } from './sendWithoutEnd.js';

const RESPONSE_DELAY_MS = 10;

export interface PlainServer extends LoopbackServer {
  id: string;
  faults: {
    isUnresponsive: boolean;
    isOverloaded: boolean;
    /** Milliseconds that a request takes, unless its path ends with `wait-` and another number. */
    responseDelayMs: number;
    /** Number of next answers that have no length and are broken off in the middle by a reset. */
    brokenAnswers: number;
    /** Bytes of each answer, which then has no length and is sent at once; null for the usual ones. */
    unframedBytes: number | null;
    /** Where each answer has no end; null for whole answers. */
    endlessPart: EndlessPart | null;
    /** A request with this body crashes the server. */
    deadlyBody: string | null;
    /** A request with this path crashes the server. */
    deadlyPath: string | null;
  };
  runs: { requestId: string; customer: string | null; key: string | null }[];
}

/** Sends half of a body without a length; the reset arrives together with the last bytes. */
const breakOff = ({ socket }: ServerResponse, headers: Record<string, string>, body: Buffer) => {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const head = `HTTP/1.1 200 OK\r\nconnection: close\r\n${lines.join('')}\r\n`;
  const half = body.subarray(0, Math.ceil(body.length / 2));
  socket?.write(Buffer.concat([Buffer.from(head), half]), () => socket.resetAndDestroy());
};

const findDelayMs = (path = ''): number | null => {
  const named = /wait-(\d+)$/.exec(path)?.[1];
  return named === undefined ? null : Number(named);
};

/** An upstream of a plain service; it responds with the request's body. */
const newPlainServer = async (id: string): Promise<PlainServer> => {
  const faults: PlainServer['faults'] = {
    isUnresponsive: false,
    isOverloaded: false,
    responseDelayMs: RESPONSE_DELAY_MS,
    brokenAnswers: 0,
    unframedBytes: null,
    endlessPart: null,
    deadlyBody: null,
    deadlyPath: null,
  };
  const runs: PlainServer['runs'] = [];
  const loopback = await listenOnLoopback(async (request, response, crash) => {
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
    const body = await readBody(request);
    setTimeout(
      () => {
        if (response.destroyed) return;
        const answerHeaders = {
          'attempt-id': requestId,
          'server-stamp': `${id}.${requestId}`,
          'instance-load': '1,0,6',
        };
        if (body.toString() === faults.deadlyBody || request.url === faults.deadlyPath) {
          crash();
          return;
        }
        if (faults.endlessPart !== null) {
          sendWithoutEnd(response, faults.endlessPart, answerHeaders);
          return;
        }
        if (faults.unframedBytes !== null) {
          response.useChunkedEncodingByDefault = false;
          response.writeHead(200, answerHeaders);
          response.end(Buffer.alloc(faults.unframedBytes, 'x'));
          return;
        }
        if (faults.brokenAnswers > 0) {
          faults.brokenAnswers -= 1;
          breakOff(response, answerHeaders, body);
          return;
        }
        response.writeHead(200, { ...answerHeaders, 'content-length': String(body.length) });
        response.end(body);
      },
      findDelayMs(request.url) ?? faults.responseDelayMs,
    );
  });
  return { ...loopback, id, faults, runs };
};

export default newPlainServer;

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryStore } from '@cyclamengate/store/newMemoryStore';
import listenOnLoopback from './listenOnLoopback.js';
import type { LoopbackServer } from './listenOnLoopback.js';
import { readBody, sendJson } from './httpBodies.js';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const POLL_MS = 5;
const LATE_APPEND_DELAY_MS = 1_500;
/** Maximum size of a page if the reader does not request one. */
const DEFAULT_MAX_KB = 1_024;

interface TrimCall {
  topic: string;
  part: number;
  before: number;
}

/** The simulated faults of the store's HTTP interface. */
export interface StoreServerFaults {
  /** `well`: no fault; `busy`: responds 503; `silent`: never responds; `reset`: resets connections. */
  mode: 'well' | 'busy' | 'silent' | 'reset';
  /** Number of further appends that are written but get no response. */
  lostResponses: number;
  /** Number of further appends that get no response and are written 1.5 s later. */
  delayedAppends: number;
}

const decodeFrames = (body: Buffer): Buffer[] => {
  const records: Buffer[] = [];
  for (let at = 0; at + LENGTH_BYTES <= body.length;) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at);
    records.push(body.subarray(at + LENGTH_BYTES, end));
    at = end;
  }
  return records;
};

const encodeFrame = (record: Buffer): Buffer => {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
};

const encodeOffset = (offset: number): Buffer => {
  const bytes = Buffer.alloc(OFFSET_BYTES);
  bytes.writeBigUInt64BE(BigInt(offset));
  return bytes;
};

/** The platform's store over HTTP, as its documentation describes it, backed by an in-memory store. */
const newStoreServer = async (
  memory: MemoryStore,
): Promise<LoopbackServer & { faults: StoreServerFaults }> => {
  const faults: StoreServerFaults = { mode: 'well', lostResponses: 0, delayedAppends: 0 };

  const append = async (
    request: IncomingMessage,
    response: ServerResponse,
    query: URLSearchParams,
  ) => {
    const records = decodeFrames(await readBody(request));
    const topic = query.get('topic') ?? '';
    const producer = {
      name: query.get('producer') ?? '',
      epoch: Number(query.get('epoch') ?? 0),
      sequence: Number(query.get('seq') ?? 0),
    };
    if (faults.delayedAppends > 0) {
      faults.delayedAppends -= 1;
      setTimeout(() => memory.append(topic, records, producer), LATE_APPEND_DELAY_MS);
      return;
    }
    const outcome = memory.append(topic, records, producer);
    if (faults.lostResponses > 0) {
      faults.lostResponses -= 1;
      return;
    }
    if (outcome.ok) {
      const { offset } = outcome.val;
      sendJson(response, 200, { offset, end: offset + records.length });
    } else if (outcome.val.type === 'rejected') sendJson(response, 413, {});
    else if (outcome.val.type === 'sequence') {
      sendJson(response, 409, { why: 'seq', seq: outcome.val.expected });
    } else sendJson(response, 409, { why: 'fenced' });
  };

  const read = async (response: ServerResponse, query: URLSearchParams): Promise<void> => {
    const topic = query.get('topic') ?? '';
    const from = Number(query.get('from') ?? 0);
    const deadline = Date.now() + Number(query.get('wait-ms') ?? 0);
    const maxKb = Number(query.get('max-kb') ?? DEFAULT_MAX_KB);
    let page = memory.read(topic, from, maxKb);
    while (page.ok && page.val.records.length === 0 && Date.now() < deadline) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
      page = memory.read(topic, from, maxKb);
    }
    if (!page.ok) {
      sendJson(response, 410, { first: page.val.type === 'expired' ? page.val.first : 0 });
      return;
    }
    const { end, first, records } = page.val;
    const frames = records.map(({ body }) => encodeFrame(body));
    const body = Buffer.concat([encodeOffset(end), encodeOffset(first), ...frames]);
    response.writeHead(200, { 'content-length': String(body.length) });
    response.end(body);
  };

  const newest = (response: ServerResponse, query: URLSearchParams): void => {
    const { end, records } = memory.newest(query.get('topic') ?? '');
    const entries = records.map(({ key, value, offset }) => ({
      key,
      value: value?.toString('base64') ?? '',
      offset,
    }));
    sendJson(response, 200, { entries, 'has-more': false, end });
  };

  const trim = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { topic, before } = JSON.parse((await readBody(request)).toString()) as TrimCall;
    memory.trim(topic, before);
    sendJson(response, 200, {});
  };

  const handleRequest = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const [path, query = ''] = (request.url ?? '').split('?');
    const fields = new URLSearchParams(query);
    if (faults.mode === 'silent') return;
    if (faults.mode === 'reset') request.socket.resetAndDestroy();
    else if (faults.mode === 'busy') sendJson(response, 503, {});
    else if (path === '/v1/log-append') await append(request, response, fields);
    else if (path === '/v1/log-read') await read(response, fields);
    else if (path === '/v1/log-newest') newest(response, fields);
    else if (path === '/v1/log-trim') {
      await trim(request, response);
    } else sendJson(response, 404, {});
  };

  const loopback = await listenOnLoopback(handleRequest);
  return { ...loopback, faults };
};

export default newStoreServer;

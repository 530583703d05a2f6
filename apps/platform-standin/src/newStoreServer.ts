import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryStore } from '@cyclamengate/store/newMemoryStore';
import listenOnLoopback from './listenOnLoopback.js';
import type { LoopbackServer } from './listenOnLoopback.js';
import { readAll, sendJson } from './readAll.js';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const POLL_MS = 5;
const LATE_MS = 1_500;
/** What a page holds where its reader names no size. */
const MOST_KB = 1_024;

interface TrimCall {
  topic: string;
  part: number;
  before: number;
}

/** How the store's interface misbehaves. */
export interface StoreServerFaults {
  mode: 'well' | 'busy' | 'silent' | 'reset';
  /** The next so many appends are done and not answered. */
  lostAnswers: number;
  /** The next so many appends are not answered, and done 1.5 s later. */
  lateAppends: number;
}

const unframe = (body: Buffer): Buffer[] => {
  const records: Buffer[] = [];
  for (let at = 0; at + LENGTH_BYTES <= body.length;) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at);
    records.push(body.subarray(at + LENGTH_BYTES, end));
    at = end;
  }
  return records;
};

const frame = (record: Buffer): Buffer => {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
};

const offsetBytes = (offset: number): Buffer => {
  const bytes = Buffer.alloc(OFFSET_BYTES);
  bytes.writeBigUInt64BE(BigInt(offset));
  return bytes;
};

/** The platform's store over HTTP, as its page describes it, in front of a store in memory. */
const newStoreServer = async (
  memory: MemoryStore,
): Promise<LoopbackServer & { faults: StoreServerFaults }> => {
  const faults: StoreServerFaults = { mode: 'well', lostAnswers: 0, lateAppends: 0 };

  const append = async (
    request: IncomingMessage,
    response: ServerResponse,
    query: URLSearchParams,
  ) => {
    const records = unframe(await readAll(request));
    const topic = query.get('topic') ?? '';
    const producer = {
      name: query.get('producer') ?? '',
      epoch: Number(query.get('epoch') ?? 0),
      sequence: Number(query.get('seq') ?? 0),
    };
    if (faults.lateAppends > 0) {
      faults.lateAppends -= 1;
      setTimeout(() => memory.append(topic, records, producer), LATE_MS);
      return;
    }
    const answer = memory.append(topic, records, producer);
    if (faults.lostAnswers > 0) {
      faults.lostAnswers -= 1;
      return;
    }
    if (answer.ok) {
      const { offset } = answer.val;
      sendJson(response, 200, { offset, end: offset + records.length });
    } else if (answer.val.type === 'sequence') {
      sendJson(response, 409, { why: 'seq', seq: answer.val.expected });
    } else sendJson(response, 409, { why: 'fenced' });
  };

  const read = async (response: ServerResponse, query: URLSearchParams): Promise<void> => {
    const topic = query.get('topic') ?? '';
    const from = Number(query.get('from') ?? 0);
    const until = Date.now() + Number(query.get('wait-ms') ?? 0);
    const mostKb = Number(query.get('max-kb') ?? MOST_KB);
    let page = memory.read(topic, from, mostKb);
    while (page.ok && page.val.records.length === 0 && Date.now() < until) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
      page = memory.read(topic, from, mostKb);
    }
    if (!page.ok) {
      sendJson(response, 410, { first: page.val.type === 'expired' ? page.val.first : 0 });
      return;
    }
    const { end, first, records } = page.val;
    const frames = records.map(({ body }) => frame(body));
    const body = Buffer.concat([offsetBytes(end), offsetBytes(first), ...frames]);
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
    const { topic, before } = JSON.parse((await readAll(request)).toString()) as TrimCall;
    memory.trim(topic, before);
    sendJson(response, 200, {});
  };

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
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

  const listening = await listenOnLoopback((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  return { ...listening, faults };
};

export default newStoreServer;

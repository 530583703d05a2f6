/** The platform's store over HTTP, as PROTOCOL.md describes it, with its limits on records and calls. */
import { createServer } from 'node:http';
import { sleep } from './record.js';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const KB = 1_024;
const RECORD_BYTES = 262_144;
const CALL_BYTES = 2_097_152;
const APPEND_MS = 2;
const ANSWER_MS = 4;
const KEPT_ANSWERS = 5;
const EXPIRY_CHECK_MS = 100;
const DEFAULT_PAGE_KB = 1_024;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const sendJson = (response, status, body) => {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
  });
  response.end(text);
};

const splitRecords = (body) => {
  const records = [];
  for (let at = 0; at < body.length;) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at);
    records.push(body.subarray(at + LENGTH_BYTES, end));
    at = end;
  }
  return records;
};

const parseKeyed = (record) => ({
  key: record.subarray(1, 1 + record[0]).toString(),
  value: record.subarray(1 + record[0]),
});

export const encodeKeyed = (key, text) =>
  Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(text)]);

/** @param retentionMs how long records are kept; those of keyed topics stay */
export const startStore = async (retentionMs = 300_000) => {
  const topics = new Map();
  /** Factor by which answers take longer. */
  let slowness = 1;
  const getTopic = (name) => {
    const known = topics.get(name);
    if (known) return known;
    const created = { first: 0, records: [], times: [], producers: new Map(), waiting: new Set() };
    topics.set(name, created);
    return created;
  };
  const endOf = ({ first, records }) => first + records.length;

  const put = (name, records) => {
    const topic = getTopic(name);
    const offset = endOf(topic);
    topic.records.push(...records);
    topic.times.push(...records.map(() => performance.now()));
    [...topic.waiting].forEach((wake) => wake());
    return offset;
  };

  const append = (name, query, body) => {
    const records = splitRecords(body);
    if (body.length > CALL_BYTES || records.some(({ length }) => length > RECORD_BYTES)) {
      return { status: 413, body: {} };
    }
    const topic = getTopic(name);
    const producer = query.get('producer');
    if (producer === null) {
      const offset = put(name, records);
      return { status: 200, body: { offset, end: endOf(topic) } };
    }
    const [epoch, seq] = [Number(query.get('epoch')), Number(query.get('seq'))];
    const known = topic.producers.get(producer);
    if (known && epoch < known.epoch) return { status: 409, body: { why: 'fenced' } };
    const isSameEpoch = known?.epoch === epoch;
    const earlier = isSameEpoch ? known.answers.get(seq) : undefined;
    if (earlier) return { status: 200, body: earlier };
    if (isSameEpoch && seq !== known.seq + 1) {
      return { status: 409, body: { why: 'seq', expected: known.seq + 1 } };
    }
    const offset = put(name, records);
    const answer = { offset, end: endOf(topic) };
    const answers = isSameEpoch ? known.answers : new Map();
    answers.set(seq, answer);
    answers.delete(seq - KEPT_ANSWERS);
    topic.producers.set(producer, { epoch, seq, answers });
    return { status: 200, body: answer };
  };

  const waitForRecord = (topic, waitMs) =>
    new Promise((resolve) => {
      const wake = () => {
        topic.waiting.delete(wake);
        resolve();
      };
      setTimeout(wake, waitMs).unref();
      topic.waiting.add(wake);
    });

  const read = async (response, name, query) => {
    const topic = getTopic(name);
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait-ms') ?? 0);
    if (from >= endOf(topic) && waitMs > 0) await waitForRecord(topic, waitMs);
    if (from < topic.first) {
      await sleep(slowness * ANSWER_MS);
      sendJson(response, 410, { first: topic.first });
      return;
    }
    const maxBytes = Number(query.get('max-kb') ?? DEFAULT_PAGE_KB) * KB;
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(endOf(topic)), 0);
    head.writeBigUInt64BE(BigInt(topic.first), OFFSET_BYTES);
    const parts = [head];
    let bytes = 0;
    for (const record of topic.records.slice(from - topic.first)) {
      bytes += LENGTH_BYTES + record.length;
      if (bytes > maxBytes && parts.length > 1) break;
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length);
      parts.push(length, record);
    }
    const body = Buffer.concat(parts);
    await sleep(slowness * ANSWER_MS);
    response.writeHead(200, { 'content-length': String(body.length) });
    response.end(body);
  };

  const listNewest = (name) => {
    const topic = getTopic(name);
    const newest = new Map();
    topic.records.forEach((record, index) => {
      const { key, value } = parseKeyed(record);
      if (value.length === 0) newest.delete(key);
      else newest.set(key, { key, value: value.toString('base64'), offset: topic.first + index });
    });
    return { entries: [...newest.values()], 'has-more': false, end: endOf(topic) };
  };

  const trim = (name, before) => {
    const topic = getTopic(name);
    const count = Math.max(0, Math.min(topic.records.length, before - topic.first));
    topic.records = topic.records.slice(count);
    topic.times = topic.times.slice(count);
    topic.first += count;
  };

  const expire = () =>
    topics.forEach((topic, name) => {
      const isKept = (at) => at > performance.now() - retentionMs;
      const kept = topic.times.findIndex(isKept);
      const count = kept === -1 ? topic.times.length : kept;
      if (!name.startsWith('keyed.') && count > 0) trim(name, topic.first + count);
    });
  const expiryTimer = setInterval(expire, EXPIRY_CHECK_MS);

  const handle = async (request, response) => {
    const [path, text = ''] = request.url.split('?');
    const query = new URLSearchParams(text);
    const name = query.get('topic') ?? '';
    const body = await readBody(request);
    if (path === '/v1/log-read') {
      await read(response, name, query);
      return;
    }
    setTimeout(
      () => {
        if (path === '/v1/log-append') {
          const answer = append(name, query, body);
          sendJson(response, answer.status, answer.body);
        } else if (path === '/v1/log-newest') sendJson(response, 200, listNewest(name));
        else if (path === '/v1/log-trim') {
          const call = JSON.parse(body.toString());
          trim(call.topic, call.before);
          sendJson(response, 200, {});
        } else if (path === '/v1/log-owners') sendJson(response, 200, { rows: [] });
        else sendJson(response, 404, {});
      },
      slowness * (path === '/v1/log-append' ? APPEND_MS + ANSWER_MS : ANSWER_MS),
    );
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    put,
    slowDown: (factor) => {
      slowness = factor;
    },
    close: () => {
      clearInterval(expiryTimer);
      server.close();
      server.closeAllConnections();
    },
  };
};

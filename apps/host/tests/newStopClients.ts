import { once } from 'node:events';
import { Agent, request as sendRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import {
  CUSTOMER_KEY,
  HOST_NAME,
  newOperatorSettings,
} from '@cyclamengate/app-platform-standin/newPlatform';
import { batchBody } from './batchHelpers.js';
import { sleep } from './newHosts.js';
import type { TestHost } from './newHosts.js';

/** A request as its client has seen it; times are on the monotonic clock. */
export interface Attempt {
  id: string;
  what: string;
  mayRepeat: boolean;
  /** When its last byte was sent; null if it was never sent as a whole. */
  sentAt: number | null;
  endedAt: number;
  /** Null if its connection ended without a whole answer. */
  status: number | null;
}

interface Call {
  what: string;
  method: string;
  path: string;
  mayRepeat: boolean;
  body?: string;
  headers?: Record<string, string>;
  /** How long its body takes, in chunks. */
  bodyMs?: number;
}

const BODY_CHUNKS = 8;
const PIPELINED = 3;
const MAX_PAUSE_MS = 150;
const WAITS_MS = [10, 10, 30, 100, 400, 900, 1_400, 3_000, 6_000, 12_000];
const SHORT_WAITS_MS = WAITS_MS.slice(0, 6);
/** Take all places, so that others wait for one. */
const LONG_WAITS_MS = WAITS_MS.slice(-3);
const MODEL_HEADERS = { Model: 'sweep-seals', 'Token-Count': '100,400' };

/** Settings with routes whose timeouts exceed the time that a stopping host has, and with streams. */
export const newPatientSettings = () => {
  const settings = newOperatorSettings(2);
  const plain = { host: HOST_NAME, 'timeout-ms': 30_000, 'max-attempts': 3, service: 'portal' };
  const stream = { ...plain, service: 'models', streaming: true };
  return {
    ...settings,
    routes: [
      ...settings.routes,
      { ...plain, name: 'patient', 'path-prefix': '/patient/', kind: 'idempotent' },
      { ...plain, name: 'once', 'path-prefix': '/once/', kind: 'non_idempotent' },
      { ...stream, name: 'chat', 'path-prefix': '/chat/', kind: 'idempotent', resumable: true },
      { ...stream, name: 'talk', 'path-prefix': '/talk/', kind: 'non_idempotent' },
    ],
  };
};

/** Clients of all kinds of one host, which go on until its process is gone. */
const newStopClients = (host: TestHost, random: () => number) => {
  const attempts: Attempt[] = [];
  const [address = '', port = ''] = host.callers.split(':');
  let count = 0;

  const pick = <T>(list: readonly T[]): T => list[Math.floor(random() * list.length)] as T;
  const nextId = (): string => {
    count += 1;
    return `${host.name}-${count}`;
  };
  const isGone = (): boolean => host.child.exitCode !== null || host.child.signalCode !== null;

  const record = (
    id: string,
    { what, mayRepeat }: Call,
    sentAt: number | null,
    status: number | null,
  ) => attempts.push({ id, what, mayRepeat, sentAt, endedAt: performance.now(), status });

  const readWhole = async (response: IncomingMessage): Promise<number | null> => {
    try {
      for await (const chunk of response) if (!chunk) return null;
      return response.complete ? (response.statusCode ?? null) : null;
    } catch {
      return null;
    }
  };

  const writeBody = async (request: ClientRequest, body: string, bodyMs: number): Promise<void> => {
    for (let chunk = 0; chunk < BODY_CHUNKS && !request.destroyed; chunk += 1) {
      request.write(body);
      await sleep(bodyMs / BODY_CHUNKS);
    }
    request.end();
  };

  const call = async (sent: Call, agent?: Agent, id = nextId()): Promise<number | null> => {
    const { method, path, body = 'x', headers = {}, bodyMs = 0 } = sent;
    const request = sendRequest({
      host: address,
      port: Number(port),
      method,
      path,
      agent: agent ?? false,
      headers: {
        host: HOST_NAME,
        'attempt-id': id,
        'x-api-key': CUSTOMER_KEY,
        ...(agent ? {} : { connection: 'close' }),
        ...headers,
      },
    });
    let sentAt: number | null = null;
    let isConnected = false;
    request.once('socket', (socket) => {
      isConnected = !socket.connecting;
      socket.once('connect', () => {
        isConnected = true;
      });
    });
    request.once('finish', () => {
      sentAt = performance.now();
    });
    const answered = once(request, 'response').then(
      ([response]) => readWhole(response as IncomingMessage),
      () => null,
    );
    if (bodyMs > 0) await writeBody(request, body, bodyMs);
    else request.end(method === 'POST' ? body : undefined);
    const status = await answered;
    if (isConnected) record(id, sent, sentAt, status);
    return status;
  };

  const newPlainCall = (waits: readonly number[]): Call => {
    const waitMs = pick(waits);
    const isShort = waitMs <= 900 && random() < 0.7;
    const prefix = isShort ? pick(['lookup', 'deposit']) : pick(['patient', 'once']);
    const hasDeadline = random() < 0.5;
    return {
      what: `${prefix} ${waitMs} ms`,
      method: 'POST',
      path: `/${prefix}/${Math.floor(random() * 90)}/wait-${waitMs}`,
      mayRepeat: prefix === 'lookup' || prefix === 'patient',
      headers: hasDeadline ? { 'deadline-ms': String(waitMs + 1_000) } : {},
    };
  };

  const pause = (): Promise<void> => sleep(random() * MAX_PAUSE_MS);

  const keepConnection = async (waits: readonly number[]): Promise<void> => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isGone()) {
      await call(newPlainCall(waits), agent);
      await pause();
    }
    agent.destroy();
  };

  const openConnections = async (waits: readonly number[]): Promise<void> => {
    const pending: Promise<unknown>[] = [];
    while (!isGone()) {
      pending.push(call(newPlainCall(waits)));
      await pause();
    }
    await Promise.all(pending);
  };

  const sendSlowBodies = async (): Promise<void> => {
    while (!isGone()) {
      const bodyMs = 200 + random() * 6_000;
      const slow = newPlainCall(SHORT_WAITS_MS);
      await call({ ...slow, what: `slow body ${Math.round(bodyMs)} ms, ${slow.what}`, bodyMs });
    }
  };

  /** Several requests in one write; the answers are counted by the ids that they repeat. */
  const pipeline = async (): Promise<void> => {
    while (!isGone()) {
      const calls = Array.from({ length: PIPELINED }, () => ({
        id: nextId(),
        sent: newPlainCall(SHORT_WAITS_MS),
      }));
      const socket = connect(Number(port), address);
      let text = '';
      socket.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      socket.on('error', () => {});
      const isConnected = await once(socket, 'connect').then(
        () => true,
        () => false,
      );
      if (!isConnected) return;
      socket.write(
        calls
          .map(
            ({ id, sent }) =>
              `POST ${sent.path} HTTP/1.1\r\nhost: ${HOST_NAME}\r\nx-api-key: ${CUSTOMER_KEY}\r\n` +
              `attempt-id: ${id}\r\ncontent-length: 1\r\n\r\nx`,
          )
          .join(''),
      );
      const sentAt = performance.now();
      const answers = () => [...text.matchAll(/HTTP\/1\.1 (\d+)[^]*?\r\n\r\n/g)];
      const closed = once(socket, 'close').catch(() => []);
      const countAnswers = async (): Promise<void> => {
        while (answers().length < PIPELINED && !socket.destroyed) await sleep(10);
      };
      await Promise.race([closed, countAnswers()]);
      calls.forEach(({ id, sent }, index) => {
        const status = answers()[index]?.[1];
        const isLater = index > 0 && /connection: close/i.test(text);
        // After an answer that says that the connection is closed, the others were not taken.
        if (status === undefined && isLater) return;
        const fields = { ...sent, what: `pipelined ${sent.what}` };
        record(id, fields, sentAt, status === undefined ? null : Number(status));
      });
      socket.destroy();
      await pause();
    }
  };

  const useBatches = async (): Promise<void> => {
    while (!isGone()) {
      const id = nextId();
      const batch = { mayRepeat: true, headers: {} };
      const path = `/v1/lots/${id}`;
      const submit = { ...batch, what: 'submission', method: 'POST', path: '/rounds/' };
      const status = await call({ ...submit, body: batchBody(id, 1, 3) }, undefined, id);
      if (status === 202) {
        const waitMs = pick([0, 300, 1_000, 5_000]);
        const page = { ...batch, method: 'GET', path: `${path}?after=0` };
        await Promise.all([
          call({ ...page, what: `page ${waitMs} ms`, headers: { 'wait-ms': String(waitMs) } }),
          call({
            ...batch,
            what: 'item',
            method: 'GET',
            path: `/v1/items/${id}?id=${id}-0`,
          }),
        ]);
        await call({ ...batch, what: 'end', method: 'DELETE', path });
      }
      await pause();
    }
  };

  const readStreams = async (): Promise<void> => {
    while (!isGone()) {
      const isResumable = random() < 0.5;
      await call({
        what: isResumable ? 'resumable stream' : 'stream',
        method: 'POST',
        path: isResumable ? '/chat/1' : '/talk/1',
        mayRepeat: isResumable,
        headers: MODEL_HEADERS,
      });
      await pause();
    }
  };

  return {
    attempts,
    run: async (): Promise<void> => {
      await Promise.all([
        keepConnection(SHORT_WAITS_MS),
        keepConnection(SHORT_WAITS_MS),
        keepConnection(WAITS_MS),
        openConnections(SHORT_WAITS_MS),
        openConnections(WAITS_MS),
        openConnections(LONG_WAITS_MS),
        sendSlowBodies(),
        sendSlowBodies(),
        pipeline(),
        useBatches(),
        readStreams(),
        readStreams(),
      ]);
    },
  };
};

export default newStopClients;

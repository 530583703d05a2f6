import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { WireAnswer, WireCall } from './wireScript.js';

/** Number of events of a whole stream. */
export const EVENTS = 4;
/** Between two parts. */
const PART_MS = 2;
const TRICKLE = ':'.repeat(16);

export const eventText = (call: string, id: number): string => `${call} event ${id}`;

/** A body that bears the name of its call in each part. */
export const plainText = (call: string, bytes: number): string =>
  `${call}.`.repeat(Math.ceil(bytes / (call.length + 1))).slice(0, bytes);

/** An answer as the upstream sent it, for the oracle. */
export interface SentAnswer extends WireAnswer {
  /** Whether it ended in the middle of an event. */
  endsWithinEvent: boolean;
}

/** Statuses whose answer ends with its head. */
const BODYLESS = new Set([204, 304]);
/** Lines of a head after which its channel can't be used again. */
const CLOSING = /^(connection|content-length|:)/;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const bodyOf = (call: WireCall, name: string, answer: WireAnswer, after: number): string => {
  if (call.reader === 'report' || call.reader === 'order') return '{"seq":7}';
  if (call.reader === 'plain' || call.reader === 'slow') return plainText(name, answer.bytes);
  const ids = Array.from({ length: EVENTS - after }, (_, index) => after + index + 1);
  const lines = ids.flatMap((id) => [`id: ${id}`, `data: ${eventText(name, id)}`, '']);
  return lines.map((line) => line + answer.lineEnd).join('');
};

const frame = ({ framing }: WireAnswer, body: string): [header: string, body: string] => {
  if (framing === 'length') return [`content-length: ${body.length}`, body];
  if (framing === 'none') return ['x-framing: none', body];
  const chunk = (text: string): string => text && `${text.length.toString(16)}\r\n${text}\r\n`;
  const half = Math.ceil(body.length / 2);
  return [
    'transfer-encoding: chunked',
    `${chunk(body.slice(0, half))}${chunk(body.slice(half))}0\r\n\r\n`,
  ];
};

const newAnswerText = (call: WireCall, name: string, answer: WireAnswer, after: number): string => {
  const [framing, body] = frame(answer, bodyOf(call, name, answer, after));
  const isStream = call.reader === 'stream' || call.reader === 'item';
  const lines = [
    ...(answer.hasInterim ? ['HTTP/1.1 103 Early Hints', 'attempt-id: r-8', ''] : []),
    `HTTP/1.1 ${answer.status} X`,
    ...(answer.id === 'none' ? [] : [`attempt-id: ${answer.id === 'own' ? name : 'r-foreign'}`]),
    ...(answer.hasStamp ? [`server-stamp: stamp-${name}`] : []),
    ...(isStream ? ['content-type: text/event-stream', 'weight-versions: 1'] : []),
    ...(answer.header ? [answer.header] : []),
    framing,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${BODYLESS.has(answer.status) ? '' : body}`;
};

/** A stand-in upstream on a raw socket that answers by a script; `r-N` is the N-th call's id. */
const newScriptedUpstream = async (calls: WireCall[]) => {
  const sent: SentAnswer[] = [];
  const faults: string[] = [];
  const sockets = new Set<Socket>();
  const timesAsked = new Map<number, number>();
  /** Copies of former answers, which are sent where the next ones are expected. */
  const lateCopies = new Map<Socket, string>();
  let current = 0;

  const write = async (socket: Socket, text: string, answer: WireAnswer): Promise<void> => {
    let start = 0;
    for (const size of answer.splitsLineEnds ? [] : answer.parts) {
      socket.write(text.slice(start, start + size));
      start += size;
      await sleep(PART_MS);
    }
    const rest = text.slice(start);
    for (const part of answer.splitsLineEnds ? rest.split(/(?<=\r)/) : [rest]) {
      if (!socket.destroyed) socket.write(part);
      if (answer.splitsLineEnds) await sleep(1);
    }
  };

  const end = async (socket: Socket, how: WireAnswer['end']): Promise<void> => {
    if (how === 'close') socket.end();
    if (how === 'reset') socket.resetAndDestroy();
    while (how === 'endless' && !socket.destroyed) {
      socket.write(TRICKLE);
      await sleep(PART_MS);
    }
  };

  /** @param onWhole called before the last byte of an answer after which its channel may be used */
  const answer = async (socket: Socket, head: string, onWhole: () => void): Promise<void> => {
    const call = calls[current];
    if (!call) return;
    const asked = timesAsked.get(current) ?? 0;
    timesAsked.set(current, asked + 1);
    const script = call.answers[Math.min(asked, call.answers.length - 1)] as WireAnswer;
    const name = /attempt-id: (\S+)/i.exec(head)?.[1] ?? '';
    const after = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0);
    const text = newAnswerText(call, name, script, after);
    const late = lateCopies.get(socket) ?? '';
    lateCopies.delete(socket);
    const { cutAt, framing, extra, id, header, status } = script;
    const length = Math.max(
      0,
      (cutAt ?? text.length) + (cutAt !== null && cutAt < 0 ? text.length : 0),
    );
    const isCut = length < text.length || (framing === 'none' && !BODYLESS.has(status));
    const sentText = text.slice(0, length);
    const endsWithinEvent = isCut && !sentText.replace(/\r\n?/g, '\n').endsWith('\n\n');
    sent.push({ ...script, endsWithinEvent });
    // Bytes without end may be as many as an answer lacks.
    const mayBeWhole = !isCut || script.end === 'endless';
    if (mayBeWhole && id === 'own' && !CLOSING.test(header)) onWhole();
    const extras = { none: '', 'late copy': '', copy: text, garbage: 'garbage' };
    await write(socket, late + sentText + (isCut ? '' : extras[extra]), script);
    if (isCut) await end(socket, script.end);
    else if (extra === 'late copy') lateCopies.set(socket, text);
  };

  const server = createServer((socket) => {
    sockets.add(socket);
    let mayBeUsed = true;
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      if (!mayBeUsed) faults.push('a channel is used again without a whole answer');
      mayBeUsed = false;
      answer(socket, chunk.toString(), () => {
        mayBeUsed = true;
      });
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');

  return {
    port: (server.address() as AddressInfo).port,
    sent,
    faults,
    setCurrent: (index: number): void => {
      current = index;
    },
    close: (): void => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
};

export default newScriptedUpstream;

import type { ServerResponse } from 'node:http';

const PIECE_BYTES = 65_536;

/** Where an answer has no end. */
export type EndlessPart =
  /** One line of the head, many lines, or interim answers before it. */
  | 'head'
  | 'lines'
  | 'interim'
  /** A body without a length, or one of chunks. */
  | 'body'
  | 'chunks'
  /** The size of a chunk, what may follow the size, or the lines after the last chunk. */
  | 'size'
  | 'extension'
  | 'trailers'
  /** One event of a stream. */
  | 'event';

const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';

const STARTS: Record<EndlessPart, string> = {
  head: 'x-filler: ',
  lines: '',
  interim: '',
  body: '\r\n',
  chunks: CHUNKED,
  size: CHUNKED,
  extension: `${CHUNKED}1;a=`,
  trailers: `${CHUNKED}1\r\nx\r\n0\r\n`,
  event: 'content-type: text/event-stream\r\nweight-versions: 1\r\n\r\nid: 1\ndata: ',
};

/** What is sent again and again; the other parts repeat one character. */
const LINES: Partial<Record<EndlessPart, string>> = {
  lines: 'x-filler: x\r\n',
  interim: 'HTTP/1.1 103 Early Hints\r\nx-filler: x\r\n\r\n',
  size: '0',
  trailers: 'x-filler: x\r\n',
};

const newPiece = (part: EndlessPart): string => {
  const line = LINES[part] ?? 'x';
  const text = line.repeat(PIECE_BYTES / line.length);
  return part === 'chunks' ? `${text.length.toString(16)}\r\n${text}\r\n` : text;
};

/** Sends bytes that are no answer, as fast as they are read, until the connection is closed. */
const sendWithoutEnd = (
  { socket }: ServerResponse,
  part: EndlessPart,
  headers: Record<string, string>,
): void => {
  if (!socket) return;
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const piece = newPiece(part);
  const sendMore = (): void => {
    while (!socket.destroyed && socket.write(piece));
  };
  socket.on('drain', sendMore);
  if (part !== 'interim') socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}${STARTS[part]}`);
  sendMore();
};

export default sendWithoutEnd;

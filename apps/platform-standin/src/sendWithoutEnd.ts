import type { ServerResponse } from 'node:http';

const PIECE_BYTES = 65_536;

/** Where an answer has no end: in its head, in a body without a length, in one of chunks, or in an event. */
export type EndlessPart = 'head' | 'body' | 'chunks' | 'event';

const STARTS: Record<EndlessPart, string> = {
  head: 'x-filler: ',
  body: '\r\n',
  chunks: 'transfer-encoding: chunked\r\n\r\n',
  event: 'content-type: text/event-stream\r\nweight-versions: 1\r\n\r\nid: 1\ndata: ',
};

const newPiece = (part: EndlessPart): string => {
  const text = 'x'.repeat(PIECE_BYTES);
  return part === 'chunks' ? `${PIECE_BYTES.toString(16)}\r\n${text}\r\n` : text;
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
  socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}${STARTS[part]}`);
  sendMore();
};

export default sendWithoutEnd;

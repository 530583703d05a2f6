import type { IncomingHttpHeaders } from 'node:http';
import type { Client, Dispatcher } from 'undici';
import newAnswerBody from './newAnswerBody.js';
import type { SocketGate } from './newSocketGate.js';

const FIRST_FINAL_STATUS = 200;

export type ConnectionRequest = Pick<
  Dispatcher.DispatchOptions,
  'method' | 'path' | 'headers' | 'body'
>;

export interface ConnectionAnswer {
  statusCode: number;
  headers: IncomingHttpHeaders;
  /** Closes the connection if its reader leaves before the end. */
  body: AsyncIterable<Buffer>;
}

/**
 * Sends a request on a connection that has none open; rejects if no head of an answer comes.
 * @param findGate the gate of the connection's socket, once it is open
 * @param discard closes the connection, when a body is not read to its end
 */
const sendOn = (
  client: Client,
  request: ConnectionRequest,
  findGate: () => SocketGate,
  discard: () => void,
): Promise<ConnectionAnswer> =>
  new Promise((resolve, reject) => {
    let answerBody: ReturnType<typeof newAnswerBody> | null = null;
    client.dispatch(request, {
      onRequestStart: () => {},
      onResponseStart: (_, statusCode, headers) => {
        if (statusCode < FIRST_FINAL_STATUS) return;
        answerBody = newAnswerBody({ gate: findGate(), abandon: discard });
        resolve({ statusCode, headers, body: answerBody.body });
      },
      onResponseData: (_, chunk) => answerBody?.add(chunk),
      onResponseEnd: () => answerBody?.finish(null),
      onResponseError: (_, error) => {
        reject(error);
        answerBody?.finish(error);
      },
    });
  });

export default sendOn;

import type { Dispatcher } from 'undici';

const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/** Whether the last of the transfer codings is the one that tells where a body ends. */
const isChunked = (codings: string | string[]): boolean =>
  String(codings).split(',').at(-1)?.trim().toLowerCase() === 'chunked';

/** Whether a response says where its body ends; if not, the close of the connection ends it. */
const hasLength = (
  method: string,
  { statusCode, headers }: Pick<Dispatcher.ResponseData, 'statusCode' | 'headers'>,
): boolean => {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(statusCode)) return true;
  const codings = headers['transfer-encoding'];
  return codings === undefined ? headers['content-length'] !== undefined : isChunked(codings);
};

export default hasLength;

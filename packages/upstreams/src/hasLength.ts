import type { Dispatcher } from 'undici';

const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/** Whether a response says where its body ends; if not, the close of the connection ends it. */
const hasLength = (
  method: string,
  { statusCode, headers }: Pick<Dispatcher.ResponseData, 'statusCode' | 'headers'>,
): boolean =>
  method === 'HEAD' ||
  STATUSES_WITHOUT_BODY.has(statusCode) ||
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined;

export default hasLength;

import digest from '@cyclamengate/common/digest';
import type { UpstreamRequest } from './UpstreamClient.js';

const DIGEST_CHARACTERS = 16;

/**
 * Identifies what a request asks for, and for which customer. A caller that sends a request again
 * gives it a new id, possibly at another host; this stays the same.
 */
const computeRequestDigest = (request: UpstreamRequest): string => {
  const { customer, hostName, method, path, body } = request;
  const head = Buffer.from(JSON.stringify([customer, hostName, method, path]));
  return digest(Buffer.concat([head, body])).slice(0, DIGEST_CHARACTERS);
};

export default computeRequestDigest;

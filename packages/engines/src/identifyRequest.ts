import digest from '@cyclamengate/common/digest';
import type { UpstreamRequest } from './UpstreamClient.js';

const DIGEST_CHARACTERS = 16;

/**
 * Identifies what a request asks an upstream to do. A caller that sends a request again gives it a
 * new id, possibly at another host or under another host name; this stays the same. Copies of one
 * prompt may differ in their paths and bodies, so a prompt that is known identifies them.
 * @param prompt identifies the request's prompt; null if it names none
 */
const computeRequestDigest = (
  service: string,
  request: UpstreamRequest,
  prompt: string | null,
): string => {
  const { customer, method, path, body } = request;
  const head = prompt === null ? [service, customer, method, path] : [service, customer, prompt];
  const rest = prompt === null ? body : Buffer.alloc(0);
  return digest(Buffer.concat([Buffer.from(JSON.stringify(head)), rest])).slice(
    0,
    DIGEST_CHARACTERS,
  );
};

export default computeRequestDigest;

import { createHash } from 'node:crypto';
import type { UpstreamRequest } from './UpstreamClient.js';

const DIGEST_CHARACTERS = 16;

/** What copies of a request have in common, as digests. */
export interface RequestIdentity {
  /** What it asks an upstream to do: its prompt, or its path and body. */
  content: string;
  /** Its path alone: copies that an upstream ends under may differ in their bodies. */
  path: string;
}

const shortDigest = (fields: unknown[], rest: Buffer = Buffer.alloc(0)): string =>
  createHash('sha256')
    .update(JSON.stringify(fields))
    .update(rest)
    .digest('hex')
    .slice(0, DIGEST_CHARACTERS);

/**
 * Identifies a request. A caller that sends a request again gives it a new id, possibly at another
 * host or under another host name; its identity stays the same.
 * @param prompt identifies the request's prompt; null if it names none
 */
const identifyRequest = (
  service: string,
  { work = 'call', customer, method, path, body }: UpstreamRequest,
  prompt: string | null,
): RequestIdentity => ({
  content:
    prompt === null
      ? shortDigest([work, service, customer, method, path], body)
      : shortDigest([work, service, customer, prompt]),
  path: shortDigest([work, service, customer, method, path, 'path']),
});

export default identifyRequest;

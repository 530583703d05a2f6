import { createHash } from 'node:crypto';

/** SHA-256 in hexadecimal. */
const digest = (text: string | Uint8Array): string =>
  createHash('sha256').update(text).digest('hex');

export default digest;

import { randomBytes } from 'node:crypto';
import digest from '@cyclamengate/common/digest';
import { EXIT_OK } from './commandOutcome.js';
import type { CommandOutcome } from './commandOutcome.js';

const SECRET_BYTES = 24;

/** Creates a caller's key. It is shown only once; the settings contain its digest alone. */
const createKey = (): CommandOutcome => {
  const key = `cgk_${randomBytes(SECRET_BYTES).toString('base64url')}`;
  const keyDigest = digest(key);
  return {
    status: EXIT_OK,
    text: `key:    ${key}\ndigest: ${keyDigest}`,
    json: { key, digest: keyDigest },
  };
};

export default createKey;

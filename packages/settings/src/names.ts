import { z } from 'zod';

const MAX_NAME_CHARACTERS = 64;

/** Id of a customer, service, host or similar. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'allowed: lower-case letters, digits and dashes')
  .max(MAX_NAME_CHARACTERS, `allowed: at most ${MAX_NAME_CHARACTERS} characters`);

/** The path of a subtree: `/` or `/team/part`. */
export const pathSchema = z
  .string()
  .regex(/^(\/|(\/[a-z0-9][a-z0-9-]*)+)$/, 'allowed: / or /name/name…');

/** SHA-256 in hexadecimal. */
export const digestSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'allowed: a SHA-256 digest of 64 hexadecimal digits');

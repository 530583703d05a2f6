import { z } from 'zod';

const LONGEST_NAME_CHARACTERS = 64;

/** Ids of customers, services, hosts and the like. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'allowed: lower-case letters, digits and dashes')
  .max(LONGEST_NAME_CHARACTERS, `allowed: at most ${LONGEST_NAME_CHARACTERS} characters`);

/** The path of a subtree: `/` or `/team/part`. */
export const pathSchema = z
  .string()
  .regex(/^(\/|(\/[a-z0-9][a-z0-9-]*)+)$/, 'allowed: / or /name/name…');

/** SHA-256 in hexadecimal. */
export const digestSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'allowed: a SHA-256 digest of 64 hexadecimal digits');

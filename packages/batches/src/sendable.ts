import { z } from 'zod';

/*
 * What may stand in the head of a request. Anything else fails at every engine, for ever, and each
 * engine would be taken for the cause.
 */
export const headerNameSchema = z.string().regex(/^[\w!#$%&'*+.^`|~-]+$/, 'the name of a header');
export const headerValueSchema = z
  .string()
  .regex(/^[\t\x20-\x7e\x80-\xff]*$/, 'the value of a header');
export const pathSchema = z.string().regex(/^\/[\x21-\x7e\x80-\xff]*$/, 'a path');
/** Engines repeat ids in the heads of their answers. */
const MAX_ID_LENGTH = 1_024;

export const idSchema = headerValueSchema.min(1).max(MAX_ID_LENGTH);

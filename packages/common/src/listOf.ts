import { z } from 'zod';
import type { ZodType } from 'zod';

/**
 * A list that is read up to its first wrong member. A list of zod's own collects what is wrong with every
 * member, which for a list of another program can take a thousand times the memory of the list.
 * @param maxLength which is checked before any member is
 */
const listOf = <Schema extends ZodType>(schema: Schema, maxLength = Infinity) =>
  z
    .array(z.unknown())
    .max(maxLength)
    .transform((members, context) => {
      const list: z.output<Schema>[] = [];
      for (const [index, member] of members.entries()) {
        const parsed = schema.safeParse(member);
        if (!parsed.success) {
          parsed.error.issues.forEach(({ message, path }) =>
            context.addIssue({ code: 'custom', message, path: [index, ...path] }),
          );
          return z.NEVER;
        }
        list.push(parsed.data);
      }
      return list;
    }) as unknown as ZodType<z.output<Schema>[], z.input<Schema>[]>;

export default listOf;

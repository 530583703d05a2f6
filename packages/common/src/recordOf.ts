import { z } from 'zod';
import type { ZodType } from 'zod';

/** An object with values of one kind, by any name, that is read up to its first wrong value, as a list is. */
const recordOf = <Schema extends ZodType>(
  schema: Schema,
  nameSchema: ZodType<string> = z.string(),
) =>
  z.record(z.string(), z.unknown()).transform((members, context) => {
    const record: [string, z.output<Schema>][] = [];
    for (const [name, member] of Object.entries(members)) {
      const parsedName = nameSchema.safeParse(name);
      const parsed = schema.safeParse(member);
      if (!parsed.success || !parsedName.success) {
        const issues = [...(parsed.error?.issues ?? []), ...(parsedName.error?.issues ?? [])];
        issues.forEach(({ message, path }) =>
          context.addIssue({ code: 'custom', message, path: [name, ...path] }),
        );
        return z.NEVER;
      }
      record.push([name, parsed.data]);
    }
    return Object.fromEntries(record);
  }) as unknown as ZodType<Record<string, z.output<Schema>>, Record<string, z.input<Schema>>>;

export default recordOf;

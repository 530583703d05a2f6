import { readFile } from 'node:fs/promises';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { formatProblems, restore } from '@cyclamengate/common/restore';
import { parse } from 'yaml';
import type { ZodType } from 'zod';

/** Reads and validates a YAML file. The error is a single message that lists all problems. */
const readYamlFile = async <T>(path: string, schema: ZodType<T>): Promise<Result<T, string>> => {
  let raw: unknown;
  try {
    raw = parse(await readFile(path, 'utf8'));
  } catch (error) {
    return Err(`${path}: ${(error as Error).message}`);
  }
  const restored = restore(schema, raw);
  return restored.ok ? Ok(restored.val) : Err(`${path}:\n${formatProblems(restored.val)}`);
};

export default readYamlFile;

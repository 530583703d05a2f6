import type { ZodType } from 'zod';
import { Err, Ok } from './outcome.js';
import type { Result } from './outcome.js';

/** One validation error in external data: its path, the value found and the values allowed. */
export interface Problem {
  path: string;
  found: string;
  expected: string;
}

const MAX_FOUND_CHARACTERS = 80;

const valueAt = (raw: unknown, path: PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    raw,
  );

const describe = (value: unknown): string => {
  if (value === undefined) return 'nothing';
  return (JSON.stringify(value) ?? String(value)).slice(0, MAX_FOUND_CHARACTERS);
};

/**
 * Validates external data against its schema, once, where the data enters the process.
 * @returns the typed value, or all problems found
 */
export const restore = <T>(schema: ZodType<T>, raw: unknown): Result<T, Problem[]> => {
  const parsed = schema.safeParse(raw);
  if (parsed.success) return Ok(parsed.data);
  const problems = parsed.error.issues.map((issue) => ({
    path: issue.path.map(String).join('.') || '(whole)',
    found: describe(valueAt(raw, issue.path)),
    expected: issue.message,
  }));
  return Err(problems);
};

/** Formats all problems as one message, one per line. */
export const formatProblems = (problems: Problem[]): string =>
  problems.map(({ path, found, expected }) => `${path}: found ${found}; ${expected}`).join('\n');

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
const MAX_PATH_CHARACTERS = 200;
/** A list with thousands of wrong members has as many problems. */
const MAX_PROBLEMS = 50;

const valueAt = (raw: unknown, path: PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    raw,
  );

/** Never the whole of a list or an object, which may be of any size. */
const describe = (value: unknown): string => {
  if (value === undefined) return 'nothing';
  if (Array.isArray(value)) return `a list of ${value.length}`;
  if (typeof value === 'object' && value !== null) return 'an object';
  const text = typeof value === 'string' ? value.slice(0, MAX_FOUND_CHARACTERS) : value;
  return (JSON.stringify(text) ?? String(text)).slice(0, MAX_FOUND_CHARACTERS);
};

/**
 * Validates external data against its schema, once, where the data enters the process.
 * @returns the typed value, or the problems found
 */
export const restore = <T>(schema: ZodType<T>, raw: unknown): Result<T, Problem[]> => {
  const parsed = schema.safeParse(raw);
  if (parsed.success) return Ok(parsed.data);
  const problems = parsed.error.issues.slice(0, MAX_PROBLEMS).map((issue) => ({
    path: issue.path.map(String).join('.').slice(0, MAX_PATH_CHARACTERS) || '(whole)',
    found: describe(valueAt(raw, issue.path)),
    expected: issue.message,
  }));
  return Err(problems);
};

/** Formats all problems as one message, one per line. */
export const formatProblems = (problems: Problem[]): string =>
  problems.map(({ path, found, expected }) => `${path}: found ${found}; ${expected}`).join('\n');

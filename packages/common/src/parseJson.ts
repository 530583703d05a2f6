import { Err, Ok } from './outcome.js';
import type { Result } from './outcome.js';

/** Far more than any message has, and far less than a stack bears. */
const MAX_DEPTH = 64;
/**
 * Several times the figures and names of the largest batch. A value takes up to a hundred bytes of memory,
 * and two characters of text are enough for one.
 */
const MAX_VALUES = 500_000;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPEN_LIST = 0x5b;
const CLOSE_LIST = 0x5d;
const OPEN_OBJECT = 0x7b;
const CLOSE_OBJECT = 0x7d;
const COMMA = 0x2c;

/** Why a text is no JSON that this process reads. */
export type JsonFault = 'not-json' | 'too-deep' | 'too-many-values';

/** Position of the quote that ends a string; the text's length if none does. */
const findStringEnd = (text: string, start: number): number => {
  for (let end = text.indexOf('"', start); end !== -1; end = text.indexOf('"', end + 1)) {
    let escapes = 0;
    while (text.charCodeAt(end - 1 - escapes) === BACKSLASH) escapes += 1;
    if (escapes % 2 === 0) return end;
  }
  return text.length;
};

/** What is too much about a text; null if nothing is. */
const findExcess = (text: string, maxValues: number): JsonFault | null => {
  let depth = 0;
  let values = 0;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === QUOTE) index = findStringEnd(text, index + 1);
    else if (code === COMMA) values += 1;
    else if (code === OPEN_LIST || code === OPEN_OBJECT) {
      depth += 1;
      values += 1;
    } else if (code === CLOSE_LIST || code === CLOSE_OBJECT) depth -= 1;
    if (depth > MAX_DEPTH) return 'too-deep';
    if (values > maxValues) return 'too-many-values';
  }
  return null;
};

/**
 * Parses JSON text of another program as a value of unknown shape. Code that checks, words or logs the
 * value may recurse, and a value takes many times the memory of its text, so depth and number are
 * bounded here, once for all of it.
 * @param maxValues more for a text that this project's own processes write
 */
const parseJson = (text: string, maxValues = MAX_VALUES): Result<unknown, JsonFault> => {
  const excess = findExcess(text, maxValues);
  if (excess) return Err(excess);
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    return Err('not-json');
  }
};

export default parseJson;

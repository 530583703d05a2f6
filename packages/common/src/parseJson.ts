import { Err, Ok } from './outcome.js';
import type { Result } from './outcome.js';

/** Far more than any message has, and far less than a stack bears. */
const MAX_DEPTH = 64;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPEN_LIST = 0x5b;
const CLOSE_LIST = 0x5d;
const OPEN_OBJECT = 0x7b;
const CLOSE_OBJECT = 0x7d;

/** Why a text is no JSON that this process reads. */
export type JsonFault = 'not-json' | 'too-deep';

/** Position of the quote that ends a string; the text's length if none does. */
const findStringEnd = (text: string, start: number): number => {
  for (let end = text.indexOf('"', start); end !== -1; end = text.indexOf('"', end + 1)) {
    let escapes = 0;
    while (text.charCodeAt(end - 1 - escapes) === BACKSLASH) escapes += 1;
    if (escapes % 2 === 0) return end;
  }
  return text.length;
};

const isTooDeep = (text: string): boolean => {
  let depth = 0;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === QUOTE) index = findStringEnd(text, index + 1);
    else if (code === OPEN_LIST || code === OPEN_OBJECT) depth += 1;
    else if (code === CLOSE_LIST || code === CLOSE_OBJECT) depth -= 1;
    if (depth > MAX_DEPTH) return true;
  }
  return false;
};

/**
 * Parses JSON text of another program as a value of unknown shape. Code that checks, words or logs the
 * value may recurse, so the depth is bounded here, once for all of it.
 */
const parseJson = (text: string): Result<unknown, JsonFault> => {
  if (isTooDeep(text)) return Err('too-deep');
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    return Err('not-json');
  }
};

export default parseJson;

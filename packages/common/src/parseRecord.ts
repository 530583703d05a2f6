import { parseJson } from './readBody.js';

/** Parses a record's JSON. Returns null, which every schema rejects, for invalid JSON. */
const parseRecord = (body: Buffer): unknown => {
  const parsed = parseJson(body.toString());
  return parsed.ok ? parsed.val : null;
};

export default parseRecord;

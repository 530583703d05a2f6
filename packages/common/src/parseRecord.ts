import { parseJson } from './readBody.js';

/** A record's JSON as a value of unknown shape; null, which no schema takes, for what is none. */
const parseRecord = (body: Buffer): unknown => {
  const parsed = parseJson(body.toString());
  return parsed.ok ? parsed.val : null;
};

export default parseRecord;

import parseJson from './parseJson.js';

/** Parses a record's JSON. Returns null, which every schema rejects, for what is no JSON, or too deep. */
const parseRecord = (body: Buffer): unknown => {
  const parsed = parseJson(body.toString());
  return parsed.ok ? parsed.val : null;
};

export default parseRecord;

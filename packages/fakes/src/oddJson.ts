const LONG_TEXT_CHARACTERS = 10_000;
const LIST_LENGTH = 2_000;

/** Values that another program may write where something else is expected. */
export const ODD_VALUES: unknown[] = [
  ...[null, true, -1, 0, 0.5, 9e15, -9e15, 1e308, -1e308, 1e9, '', '__proto__', 'keyed.servers'],
  ...['texts-99999999999', 'a\r\nb: c', 'ά', 'x'.repeat(LONG_TEXT_CHARACTERS)],
  ...[Array(LIST_LENGTH).fill(1), Array(LIST_LENGTH).fill(''), [[[[]]]], {}],
];

/**
 * Replaces a member of a JSON value, however deep it lies.
 * @param path the number of the member at each level, counted round
 */
export const replaceMember = (record: unknown, path: number[], value: unknown): unknown => {
  const [step, ...rest] = path;
  const isInner = typeof record === 'object' && record !== null;
  if (step === undefined || !isInner || Object.keys(record).length === 0) return value;
  const copy = structuredClone(record) as Record<string, unknown>;
  const keys = Object.keys(copy);
  const key = keys[step % keys.length] ?? '';
  copy[key] = replaceMember(copy[key], rest, value);
  return copy;
};

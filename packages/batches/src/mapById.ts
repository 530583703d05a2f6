/** Maps entries by their ids, in the given order. */
const mapById = <T extends { id: string }>(entries: T[]): Map<string, T> =>
  new Map(entries.map((entry) => [entry.id, entry]));

export default mapById;

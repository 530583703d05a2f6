import { randomUUID } from 'node:crypto';

/** A unique id with a readable kind in front, e.g. `request-6f…`. */
const newId = (kind: string): string => `${kind}-${randomUUID()}`;

export default newId;

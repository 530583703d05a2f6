import type { IncomingMessage } from 'node:http';

/** Between a name and its value, and at the end of the line. */
const SEPARATOR_BYTES = 4;

/** The size of a message's headers as they came, without the line before them. */
const countHeaderBytes = ({ rawHeaders }: Pick<IncomingMessage, 'rawHeaders'>): number =>
  rawHeaders.reduce((sum, text) => sum + text.length, 0) +
  (rawHeaders.length / 2) * SEPARATOR_BYTES;

export default countHeaderBytes;

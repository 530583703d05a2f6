/** Two line ends in a row: of line feeds, of carriage returns, or of both together. */
const BLANK_LINES = ['\n\n', '\r\r', '\n\r\n'].map((text) => Buffer.from(text));

/** Where the last complete event of a stream's bytes ends; 0 if none does. */
const findEventEnd = (bytes: Buffer): number =>
  Math.max(
    ...BLANK_LINES.map((blank) => {
      const start = bytes.lastIndexOf(blank);
      return start === -1 ? 0 : start + blank.length;
    }),
  );

export default findEventEnd;

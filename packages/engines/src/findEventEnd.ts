/** Two line ends in a row; a line ends with a line feed, a carriage return, or both. */
const BLANK_LINES = ['\n\n', '\r\r', '\n\r'].map((text) => Buffer.from(text));
const LINE_FEED = 0x0a;

/** Where the last complete event of a stream's bytes ends; 0 if none does. */
const findEventEnd = (bytes: Buffer): number => {
  const end = Math.max(...BLANK_LINES.map((blank) => bytes.lastIndexOf(blank) + blank.length));
  if (end < 2) return 0;
  const isFollowedByLineFeed = bytes[end - 1] !== LINE_FEED && bytes[end] === LINE_FEED;
  return isFollowedByLineFeed ? end + 1 : end;
};

export default findEventEnd;

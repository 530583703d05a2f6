/** Thrown while reading an answer's body if the body ends before it is complete. */
export default class TruncatedAnswer extends Error {}

/** Sizes and times that more than one program holds to. */

/** A request's body; larger ones are refused. */
export const LARGEST_BODY_BYTES = 1_048_576;
/** All headers of a request together. */
export const LARGEST_HEADERS_BYTES = 16_384;
/** A sender must have its whole body over within this time. */
export const BODY_TIMEOUT_MS = 10_000;

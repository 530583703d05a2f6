/** Limits shared by several programs. */

/** Maximum size of a request body; larger ones are refused. */
export const MAX_BODY_BYTES = 1_048_576;
/** Maximum size of all headers of a request together. */
export const MAX_HEADERS_BYTES = 16_384;
/** Time within which a sender must have sent its complete body. */
export const BODY_TIMEOUT_MS = 10_000;

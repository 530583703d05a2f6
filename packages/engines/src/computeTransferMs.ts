/** Rate at which a slow host's link takes a large body at least, beside what else it carries. */
const MIN_BYTES_PER_MS = 2_500;

/** Time that it may take to send a body, in milliseconds; an upstream is not silent before. */
const computeTransferMs = (body: Buffer): number => body.length / MIN_BYTES_PER_MS;

export default computeTransferMs;

/** The store limits records to 262,144 bytes. */
export const MAX_RECORD_BYTES = 250_000;
/** Records of one append; the store limits the records of a call to 2 MiB. */
export const MAX_RECORDS_PER_APPEND = 4;

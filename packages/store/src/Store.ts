import type { Result } from '@cyclamengate/common/outcome';
import type { StoreFault } from './storeFault.js';

export interface StoredRecord {
  offset: number;
  body: Buffer;
}

export interface StorePage {
  /** The offset after the newest record. */
  end: number;
  /** The oldest retained offset. */
  first: number;
  records: StoredRecord[];
}

/** The newest record of a key. */
export interface KeyedRecord {
  key: string;
  offset: number;
  /** Null if the key was deleted. */
  value: Buffer | null;
}

export interface KeyedSnapshot {
  /** Reading from this offset yields every record that is newer than the snapshot. */
  end: number;
  records: KeyedRecord[];
}

/** Identifies an append, so that the store recognises a retry of it. */
export interface Producer {
  name: string;
  epoch: number;
  /** Sequence number of the append; one more than that of the producer's previous append. */
  sequence: number;
}

export interface Appended {
  /** Offset of the first record. */
  offset: number;
}

/** The shared store: topics of ordered records, which are retained for a limited time. */
export default abstract class Store {
  /** Appends all records in order, or none of them. */
  abstract append(
    topic: string,
    records: Buffer[],
    producer: Producer,
  ): Promise<Result<Appended, StoreFault>>;

  /**
   * Reads records from an offset on.
   * @param waitMs how long to wait for a record if there is none yet
   * @param maxKb maximum size of the page, in KiB; defaults to the store's own limit
   */
  abstract read(
    topic: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
    maxKb?: number,
  ): Promise<Result<StorePage, StoreFault>>;

  /** Deletes the records before an offset. */
  abstract trim(topic: string, before: number): Promise<Result<void, StoreFault>>;

  /** The newest record of each key of a keyed topic. */
  abstract newest(topic: string, signal?: AbortSignal): Promise<Result<KeyedSnapshot, StoreFault>>;

  /** Encodes a record of a keyed topic; a null value deletes the key. */
  abstract encodeKeyed(key: string, value: Buffer | null): Buffer;

  /** Splits a record of a keyed topic into its key and value; null if it is none. */
  abstract parseKeyed(record: StoredRecord): KeyedRecord | null;
}

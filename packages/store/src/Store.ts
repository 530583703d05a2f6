import type { Result } from '@cyclamengate/common/outcome';
import type { StoreFault } from './storeFault.js';

/** A record of a topic. */
export interface StoredRecord {
  offset: number;
  body: Buffer;
}

export interface StorePage {
  /** The offset after the newest record. */
  end: number;
  /** The oldest offset that is kept. */
  first: number;
  records: StoredRecord[];
}

/** The newest record of a key. */
export interface KeyedRecord {
  key: string;
  offset: number;
  /** Null where the key was dropped. */
  value: Buffer | null;
}

export interface KeyedSnapshot {
  /** Reading on from here misses nothing that the snapshot lacks. */
  end: number;
  records: KeyedRecord[];
}

/** Lets the store recognise an append that is sent again. */
export interface Producer {
  name: string;
  epoch: number;
  /** Number of this append; one more than the last one's. */
  sequence: number;
}

export interface Appended {
  /** Offset of the first record. */
  offset: number;
}

/** The shared store: topics of records in one order, each kept for a limited time. */
export default abstract class Store {
  /** Appends records in order, all or none. */
  abstract append(
    topic: string,
    records: Buffer[],
    producer: Producer,
  ): Promise<Result<Appended, StoreFault>>;

  /**
   * Reads from an offset on, and waits so long for a record when there is none.
   * @param mostKb of records, in KiB; the store's own most where it is left out
   */
  abstract read(
    topic: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
    mostKb?: number,
  ): Promise<Result<StorePage, StoreFault>>;

  /** Deletes the records before an offset. */
  abstract trim(topic: string, before: number): Promise<Result<void, StoreFault>>;

  /** The newest record of each key of a keyed topic. */
  abstract newest(topic: string, signal?: AbortSignal): Promise<Result<KeyedSnapshot, StoreFault>>;

  /** Splits a record of a keyed topic into its key and value. */
  abstract keyed(record: StoredRecord): KeyedRecord;
}

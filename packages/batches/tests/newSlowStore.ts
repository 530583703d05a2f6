import type Clock from '@cyclamengate/common/Clock';
import type { Result } from '@cyclamengate/common/outcome';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import Store from '@cyclamengate/store/Store';
import type {
  Appended,
  KeyedRecord,
  KeyedSnapshot,
  Producer,
  StoredRecord,
  StorePage,
} from '@cyclamengate/store/Store';
import type { StoreFault } from '@cyclamengate/store/storeFault';

interface Link {
  latencyMs: number;
  bytesPerMs: number;
}

/** Creates a view of a store whose pages are transferred one after the other over a host's link. */
export const newSlowStore = (
  clock: Clock,
  store: Store,
  { latencyMs, bytesPerMs }: Link,
): Store => {
  let freeAt = -Infinity;

  class SlowStore extends Store {
    async read(
      topic: string,
      from: number,
      waitMs: number,
      signal?: AbortSignal,
      maxKb?: number,
    ): Promise<Result<StorePage, StoreFault>> {
      const page = await store.read(topic, from, waitMs, signal, maxKb);
      const records = page.ok ? page.val.records : [];
      const bytes = records.reduce((sum, { body }) => sum + body.length, 0);
      freeAt = Math.max(freeAt, clock.now()) + bytes / bytesPerMs;
      await clock.sleepUntil(freeAt + latencyMs);
      return page;
    }

    append(
      topic: string,
      records: Buffer[],
      producer: Producer,
    ): Promise<Result<Appended, StoreFault>> {
      return store.append(topic, records, producer);
    }

    trim(topic: string, before: number): Promise<Result<void, StoreFault>> {
      return store.trim(topic, before);
    }

    newest(topic: string, signal?: AbortSignal): Promise<Result<KeyedSnapshot, StoreFault>> {
      return store.newest(topic, signal);
    }

    encodeKeyed(key: string, value: Buffer | null): Buffer {
      return store.encodeKeyed(key, value);
    }

    parseKeyed(record: StoredRecord): KeyedRecord | null {
      return store.parseKeyed(record);
    }
  }
  return new SlowStore();
};

const STEP_MS = 5;

/** Advances the clock until a promise is settled. */
export const advanceUntilSettled = async <T>(clock: ManualClock, work: Promise<T>): Promise<T> => {
  let isDone = false;
  work.finally(() => {
    isDone = true;
  });
  while (!isDone) await clock.advance(STEP_MS);
  return work;
};

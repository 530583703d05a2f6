import { encodeKeyedRecord, parseKeyedRecord } from '@cyclamengate/adapter/logFormat';
import { Ok } from '@cyclamengate/common/outcome';
import newMemoryStore from '@cyclamengate/store/newMemoryStore';
import type { KeyedRecord, StoredRecord } from '@cyclamengate/store/Store';
import { isKeyed } from './storeScript.js';

/**
 * A store in which anything can be written and whose records expire on demand, but for the newest of
 * each key. Reads never wait.
 */
const newScriptedStore = () => {
  const memory = newMemoryStore();
  const newestByTopic = new Map<string, Map<string, KeyedRecord>>();

  const keepNewest = (topic: string, record: StoredRecord): void => {
    const newest = newestByTopic.get(topic) ?? new Map<string, KeyedRecord>();
    newestByTopic.set(topic, newest);
    const keyed = parseKeyedRecord(record);
    // No store would keep what is shorter than the length of its key says.
    if (keyed === null) return;
    if (keyed.value === null) newest.delete(keyed.key);
    else newest.set(keyed.key, keyed);
  };

  const endOf = (topic: string): number => {
    const page = memory.read(topic, Number.MAX_SAFE_INTEGER);
    return page.ok ? page.val.end : 0;
  };

  const store = Object.assign(memory.newView(), {
    read: async (topic: string, from: number, _wait: number, _: unknown, maxKb?: number) =>
      memory.read(topic, from, maxKb),
    newest: async (topic: string) =>
      Ok({ end: endOf(topic), records: [...(newestByTopic.get(topic)?.values() ?? [])] }),
    encodeKeyed: encodeKeyedRecord,
    parseKeyed: parseKeyedRecord,
  });

  return {
    store,
    /** @returns the offset of the first record */
    write: (topic: string, bodies: Buffer[]): number => {
      const offset = memory.put(topic, bodies);
      if (!isKeyed(topic)) return offset;
      bodies.forEach((body, index) => keepNewest(topic, { offset: offset + index, body }));
      return offset;
    },
    expire: (topic: string): void => memory.trim(topic, endOf(topic)),
  };
};

export default newScriptedStore;

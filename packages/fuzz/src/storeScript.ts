/** What is decided of something by its name, such as `engine i-0`. */
export type Effect = [name: string, value: unknown];

/** What a well-formed record says; the oracle knows nothing else of it. */
export interface Fact {
  /** Undefined as a value: nothing is expected any longer. */
  effects: Effect[];
  /** What must hold before; the record has no effect otherwise. */
  requires?: Effect;
}

/** One write to the store: the records of one call. */
export interface Write {
  type: 'write';
  topic: string;
  /** As they stand in the store. */
  bodies: Buffer[];
  /** Null for odd records, of which nothing is expected. */
  fact: Fact | null;
}

/** `read`: the hosts read; `expire`: all records expire, but for the newest of each key. */
export type Step = Write | { type: 'read' } | { type: 'expire' };

/** What of the store is fuzzed: one reader of the product, with its topics. */
export type StorePart = 'upstreams' | 'operator' | 'crashes' | 'coordination' | 'batches';

export const TOPICS: Record<StorePart, string[]> = {
  upstreams: ['keyed.servers'],
  operator: ['keyed.op'],
  crashes: ['keyed.crashes'],
  coordination: ['coordination'],
  batches: ['batches', 'parts'],
};

export const STORE_PARTS = Object.keys(TOPICS) as StorePart[];

export interface StoreScript {
  part: StorePart;
  steps: Step[];
}

export const isWrite = (step: Step): step is Write => step.type === 'write';

export const isKeyed = (topic: string): boolean => topic.startsWith('keyed.');

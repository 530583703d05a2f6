import { createHash } from 'node:crypto';
import digest from '@cyclamengate/common/digest';
import type { Batch, BatchHead, Item, ItemFields, ItemHead, TextPlace } from './batchRecord.js';

/** Half of a SHA-256 digest, which is enough to distinguish the requests of some minutes. */
const DIGEST_CHARACTERS = 32;

/** The fields of an item that decide about its text, besides its body. */
type DigestedFields = Pick<ItemFields, 'path' | 'headers'>;

/** @param bodyDigest SHA-256 of the body, in hexadecimal */
export const computeItemDigest = ({ path, headers }: DigestedFields, bodyDigest: string): string =>
  digest(JSON.stringify([path, headers, bodyDigest])).slice(0, DIGEST_CHARACTERS);

/** Creates the metadata of an item that every host holds. */
export const newItemHead = (item: Item): ItemHead => ({
  id: item.id,
  group: item.group,
  expectedTokens: item.expectedTokens,
  digest: computeItemDigest(item, createHash('sha256').update(item.body, 'base64').digest('hex')),
  segment: 0,
});

/**
 * Creates the record of a batch for the topic that all hosts follow; its requests are stored
 * separately.
 */
const newBatchHead = (
  batch: Omit<Batch, 'type' | 'items'>,
  items: ItemHead[],
  segments: TextPlace[],
): BatchHead => ({ ...batch, type: 'batch-head', items, segments });

export default newBatchHead;

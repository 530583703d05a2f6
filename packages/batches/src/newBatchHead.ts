import digest from '@cyclamengate/common/digest';
import type { Batch, BatchHead, Item, ItemHead, TextPlace } from './batchRecord.js';

/** Half of a SHA-256 digest, which is enough to distinguish the requests of some minutes. */
const DIGEST_CHARACTERS = 32;

/** Creates the metadata of an item that every host holds. */
export const newItemHead = ({
  id,
  group,
  expectedTokens,
  path,
  headers,
  body,
}: Item): ItemHead => ({
  id,
  group,
  expectedTokens,
  digest: digest(JSON.stringify([path, headers, body])).slice(0, DIGEST_CHARACTERS),
});

/**
 * Creates the record of a batch for the topic that all hosts follow; its requests are stored
 * separately.
 */
const newBatchHead = (batch: Batch, requests: TextPlace): BatchHead => ({
  ...batch,
  type: 'batch-head',
  items: batch.items.map(newItemHead),
  requests,
});

export default newBatchHead;

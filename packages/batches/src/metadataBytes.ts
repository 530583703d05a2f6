import type { ItemHead } from './batchRecord.js';

/** What a host holds of an item of any batch, beside its names. */
const ITEM_BYTES = 320;
/** What a host holds of an item's result, with the location of its text. */
export const RESULT_BYTES = 400;

/** What a host holds of an item of any batch. */
export const itemBytes = ({ id, group }: Pick<ItemHead, 'id' | 'group'>): number =>
  ITEM_BYTES + id.length + group.length;

import type Clock from '@cyclamengate/common/Clock';
import type { ItemResult } from './batchRecord.js';
import type { Texts } from './newTexts.js';
import { textBytes } from './textRecords.js';

const MAX_PAGE_BYTES = 900_000;
/** Size of a result without its text. */
const RESULT_OVERHEAD_BYTES = 300;
/**
 * A page is sent over the same link over which its texts are read. Reading and sending together
 * take less than the 1.5 s that a caller waits.
 */
const READ_TIMEOUT_MS = 400;

/** Consecutive results, each with its text. */
export interface ResultPage {
  results: ItemResult[];
  texts: string[];
}

export interface ResultPagesOptions {
  clock: Clock;
  readTexts: Texts['read'];
}

/** Returns as many results from a position on as fit into one response. */
const takePage = (results: ItemResult[], from: number): ItemResult[] => {
  let bytes = 0;
  const rest = results.slice(from);
  const end = rest.findIndex(({ text }, index) => {
    bytes += textBytes(text) + RESULT_OVERHEAD_BYTES;
    return index > 0 && bytes > MAX_PAGE_BYTES;
  });
  return end === -1 ? rest : rest.slice(0, end);
};

/** Reads pages of a batch's results, with their texts from the store. */
const newResultPages = ({ clock, readTexts }: ResultPagesOptions) => ({
  /** Size of the texts of the page at a position. */
  countBytes: (all: ItemResult[], from: number): number =>
    takePage(all, from).reduce((sum, { text }) => sum + textBytes(text) + RESULT_OVERHEAD_BYTES, 0),
  /**
   * @returns what can be read now; null if there are results but none of their texts can be read
   */
  read: async (all: ItemResult[], from: number): Promise<ResultPage | null> => {
    const selected = takePage(all, from);
    const places = selected.map(({ text }) => text);
    const texts = await readTexts(places, clock.now() + READ_TIMEOUT_MS);
    if (selected.length > 0 && texts.length === 0) return null;
    return { results: selected.slice(0, texts.length), texts };
  },
});

export default newResultPages;

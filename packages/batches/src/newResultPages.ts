import type Clock from '@cyclamengate/common/Clock';
import type { ItemResult } from './batchRecord.js';
import type { Texts } from './newTexts.js';

const MOST_PAGE_BYTES = 900_000;
/** What a result needs beside its text. */
const RESULT_BYTES = 300;
/** Texts are read within some milliseconds; a caller asks twice a second. */
const READ_TEXTS_MS = 700;

/** Results that follow one another, each with its text. */
export interface ResultPage {
  results: ItemResult[];
  texts: string[];
}

export interface ResultPagesOptions {
  clock: Clock;
  readTexts: Texts['read'];
}

/** As many of the results from a position on as one answer holds. */
const cutToPage = (results: ItemResult[], from: number): ItemResult[] => {
  let bytes = 0;
  const rest = results.slice(from);
  const cut = rest.findIndex(({ text }, index) => {
    bytes += (text?.bytes ?? 0) + RESULT_BYTES;
    return index > 0 && bytes > MOST_PAGE_BYTES;
  });
  return cut === -1 ? rest : rest.slice(0, cut);
};

/** Reads pages of a batch's results, with their texts from the store. */
const newResultPages = ({ clock, readTexts }: ResultPagesOptions) => ({
  /** @returns null where the store does not give the texts now */
  read: async (all: ItemResult[], from: number): Promise<ResultPage | null> => {
    const results = cutToPage(all, from);
    const places = results.map(({ text }) => text);
    const texts = await readTexts(places, clock.now() + READ_TEXTS_MS);
    return texts && { results, texts };
  },
});

export type ResultPages = ReturnType<typeof newResultPages>;

export default newResultPages;

import type Clock from '@cyclamengate/common/Clock';
import type { ItemResult } from './batchRecord.js';
import type { Texts } from './newTexts.js';

const MOST_PAGE_BYTES = 900_000;
/** What a result needs beside its text. */
const RESULT_BYTES = 300;
/** A page leaves over the link that its texts came by: both ways take less than the 1.5 s that a caller waits. */
const READ_TEXTS_MS = 400;

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
  /** @returns what can be read now, or null where there are results and the text of none can be */
  read: async (all: ItemResult[], from: number): Promise<ResultPage | null> => {
    const wanted = cutToPage(all, from);
    const places = wanted.map(({ text }) => text);
    const texts = await readTexts(places, clock.now() + READ_TEXTS_MS);
    if (wanted.length > 0 && texts.length === 0) return null;
    return { results: wanted.slice(0, texts.length), texts };
  },
});

export default newResultPages;

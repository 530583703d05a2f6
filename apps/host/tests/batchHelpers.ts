import { HOST_NAME, MODEL } from '@cyclamengate/app-platform-standin/newPlatform';
import { expectedEventCount } from '@cyclamengate/app-platform-standin/newEngineServer';
import { send, waitUntil } from './newHosts.js';
import type { Answer, TestHost } from './newHosts.js';

/** The outcome is unknown: the batch may run or not. */
const UNKNOWN_STATUS = 504;

export interface ResultPage {
  total: number;
  'next-token': number;
  results: { id: string; state: string; text: string; versions: number[]; score?: string }[];
}

/** Body of a batch with groups of items that share a prompt, and a scoring call for each item. */
export const batchBody = (
  name: string,
  groups: number,
  itemsPerGroup: number,
  leastVersion = 1,
): string =>
  JSON.stringify({
    'train-step': 1,
    model: MODEL,
    'min-version': leastVersion,
    desired: groups,
    entries: Array.from({ length: groups * itemsPerGroup }, (_, index) => ({
      id: `${name}-${index}`,
      path: `/rounds/${name}/${index}`,
      headers: { Model: MODEL, 'Token-Count': '100,400', 'Length-Hint': '300' },
      body: Buffer.from(`prompt ${index}`).toString('base64'),
      tokens: 500,
      group: `${name}-g${Math.floor(index / itemsPerGroup)}`,
      scorer: {
        id: `${name}-score-${index}`,
        host: HOST_NAME,
        path: `/lookup/score/${index}`,
        body: Buffer.from('{}').toString('base64'),
      },
    })),
  });

export const submit = (host: TestHost, id: string, body: string): Promise<Answer> =>
  send(host, 'POST', '/rounds/', { id, body });

/**
 * Submits a batch as trainers do, who send it again while its outcome is unknown; a host answers so
 * if the store, which may be short of processor time here, is silent for a second.
 * @returns the first answer that tells the outcome
 */
export const submitUntilKnown = async (
  host: TestHost,
  id: string,
  body: string,
): Promise<Answer> => {
  const answer = await submit(host, id, body);
  return answer.status === UNKNOWN_STATUS ? submitUntilKnown(host, id, body) : answer;
};

export const readPage = async (
  host: TestHost,
  id: string,
  from = 0,
): Promise<ResultPage | null> => {
  const answer = await send(host, 'GET', `/v1/lots/${id}?after=${from}`, {
    headers: { 'wait-ms': '300' },
  });
  return answer.status === 200 ? (JSON.parse(answer.body) as ResultPage) : null;
};

/** Reads until every item has a result. */
export const readAllResults = async (host: TestHost, id: string): Promise<ResultPage> => {
  let page: ResultPage | null = null;
  await waitUntil(async () => {
    page = await readPage(host, id).catch(() => null);
    return page !== null && page.results.length === page.total;
  });
  return page as unknown as ResultPage;
};

/** The expected text of an item; it does not depend on the engines that generate it. */
export const expectedTextOf = (item: string): string =>
  Array.from({ length: expectedEventCount(item) }, (_, index) => `${item}/${index + 1}`).join('\n');

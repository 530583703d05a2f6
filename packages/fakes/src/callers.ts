import { request } from 'undici';

/** A caller's answer, read to its end. */
export interface CallerAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  text: string;
}

/** The demo key of a customer of the example settings. */
export const keyOf = (customer: string): string => `cgk_demo-${customer}`;

/** Sends JSON with a customer's key and reads the whole answer. */
export const post = async (
  url: string,
  customer: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<CallerAnswer> => {
  const answer = await request(url, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${keyOf(customer)}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify(body),
  });
  const text = await answer.body.text();
  return { status: answer.statusCode, headers: answer.headers, text };
};

/** Whether a streamed answer came to its proper end. */
export const isWhole = ({ text }: CallerAnswer): boolean => text.endsWith('data: [DONE]\n\n');

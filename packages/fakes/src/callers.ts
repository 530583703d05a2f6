import { request } from 'undici';

/** A response to a caller, with its complete body. */
export interface CallerResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  text: string;
}

/** Returns the API key that the example settings define for a customer. */
export const demoKeyOf = (customer: string): string => `cgk_demo-${customer}`;

/** Sends JSON with a customer's key and reads the complete response. */
export const post = async (
  url: string,
  customer: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<CallerResponse> => {
  const response = await request(url, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${demoKeyOf(customer)}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  return { status: response.statusCode, headers: response.headers, text };
};

/** Whether a streamed response ended with the `[DONE]` event instead of being truncated. */
export const isStreamComplete = ({ text }: CallerResponse): boolean =>
  text.endsWith('data: [DONE]\n\n');

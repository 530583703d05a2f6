import parseJson from '@cyclamengate/common/parseJson';
import { getFetch } from '@trpc/client';
import type { TRPCFetch } from '@trpc/client';

/** More than any answer of a host has: settings, or what it knows of crashes. */
const MAX_ANSWER_BYTES = 2_000_000;

/** @returns null if the text is too large; the connection is reset then */
const readText = async (body: AsyncIterable<Uint8Array> | null): Promise<string | null> => {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body ?? []) {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) return null;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
};

/**
 * Makes the function that sends calls to peers. It reads an answer that is too large, nested too deep or
 * no JSON as an error.
 * @param onOdd called with the fault of an answer that states success
 */
const newAnswerFetch = (onOdd: (fault: string) => void): TRPCFetch => {
  const fetch = getFetch();
  return async (url, init) => {
    const response = await fetch(url, { ...init, redirect: 'error' });
    const text = await readText(response.body as AsyncIterable<Uint8Array> | null);
    const parsed = text === null ? null : parseJson(text);
    if (parsed?.ok) return { ok: response.ok, json: async () => parsed.val };
    const fault = parsed ? parsed.val : 'too-large';
    if (response.ok) onOdd(fault);
    throw new Error(`answer ${fault}`);
  };
};

export default newAnswerFetch;

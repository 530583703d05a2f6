import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import newEntrySampleMaker from '../src/newEntrySampleMaker.js';

const chunk = (text: string, finishReason: string | null, version?: number): string =>
  `data: ${JSON.stringify({ choices: [{ text, finish_reason: finishReason }], version })}\n\n`;

// A token arrives without the version that produced it. Without the token, the sample would be
// truncated but look complete; with a neighbour's version, its attribution could be wrong.
test('an answer with a token of unknown version yields no sample', async (t) => {
  const server = createServer((request, response) => {
    request.resume();
    response.end(
      [chunk('a', null, 1), chunk('b', null), chunk('', 'length'), 'data: [DONE]\n\n'].join(''),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const maker = newEntrySampleMaker(
    () => `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
  const made = await maker.generate('key', 'tone', 'x', 2, new AbortController().signal);
  t.is(made.ok ? '' : made.val, 'failed');
});

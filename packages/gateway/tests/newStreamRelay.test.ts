import { createServer, get } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newStreamRelay from '../src/newStreamRelay.js';
import type { RelayOutcome } from '../src/newPlainRelay.js';
import { holding, newRequest, newUpstreams, silentLog } from './helpers.js';

test('a stream that is held back is refused as not run, with the time to come back', async (t) => {
  // Guards against a stream that ends engines and is tried on each of them in vain.
  const clock = newManualClock();
  const behave = holding(clock.now() + 5_000);
  const upstreams = newUpstreams(clock, { a: behave, b: behave });
  const relay = newStreamRelay({ clock, log: silentLog, ...upstreams });
  let resolveOutcome: (outcome: RelayOutcome) => void = () => {};
  const outcome = new Promise<RelayOutcome>((resolve) => {
    resolveOutcome = resolve;
  });
  const server: Server = createServer(async (_request, response: ServerResponse) => {
    const { signal } = new AbortController();
    resolveOutcome(await relay(newRequest(clock), response, signal));
    t.false(response.headersSent);
    response.end();
  });
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  get({ host: '127.0.0.1', port: (server.address() as AddressInfo).port });
  const result = await outcome;
  t.is(upstreams.sent.length, 1);
  t.true(result.type === 'refusal' && !result.hasRun && result.refusal.status === 503);
  t.true(result.type === 'refusal' && result.refusal.retryAfterMs === 5_000);
});

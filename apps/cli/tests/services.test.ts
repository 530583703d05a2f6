import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import findPort from '@cyclamengate/fakes/findPort';
import type { ServiceReport } from '@cyclamengate/gateway/serviceReport';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { EXIT_FAILED, EXIT_OK } from '../src/commandOutcome.js';
import services from '../src/services.js';

const report: ServiceReport = {
  service: 'portal',
  upstreams: [
    { id: 'p1', failureDomain: 'detroit', slots: 6, load: 5, pace: 2.25, isBackedOff: true },
  ],
  admission: {
    places: 6,
    free: 1,
    reportAgeMs: 120,
    running: [{ customer: 'museum', count: 2, share: 3 }],
    waiting: [{ customer: 'harbour', priority: 'urgent', count: 4 }],
    classes: [{ workClass: 'urgent', running: 2, waiting: 4, expectedWaitMs: 80 }],
  },
};

/** @returns the address of a server that answers every request with a body */
const serve = async (t: ExecutionContext, status: number, body: string): Promise<string> => {
  const server = createServer((_request, response) => {
    response.writeHead(status);
    response.end(body);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

test('the command shows who waits, who holds what share, the expected wait and each pace', async (t) => {
  const { status, text, json } = await services(await serve(t, 200, JSON.stringify([report])));
  t.is(status, EXIT_OK);
  t.deepEqual(json, [report]);
  t.regex(text, /places 6, free 1, newest load report 120 ms old/);
  t.regex(text, /customer museum +running 2, share 3/);
  t.regex(text, /customer harbour +waiting 4 \(urgent\)/);
  t.regex(text, /class urgent +running 2, waiting 4, expected wait 80 ms/);
  t.regex(text, /upstream p1 +detroit +5 of 6 slots, pace 2\.25, in back-off/);
});

test('an answer that is no report, or none at all, is said with the address', async (t) => {
  // Guards against an empty table that an operator takes for a service without load.
  const port = await findPort();
  const addresses = [
    await serve(t, 200, '[{"service":7}]'),
    await serve(t, 200, 'not json'),
    await serve(t, 404, ''),
    `127.0.0.1:${port}`,
  ];
  for (const address of addresses) {
    const { status, text } = await services(address);
    t.is(status, EXIT_FAILED, address);
    t.true(text.startsWith(address), text);
  }
});

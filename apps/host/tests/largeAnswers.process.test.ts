import { request as httpRequest } from 'node:http';
import { CUSTOMER_KEY, HOST_NAME } from '@cyclamengate/app-platform-standin/newPlatform';
import test from 'ava';
import { newMemorySystem, startLookups } from './memoryHelpers.js';
import { sleep } from './newHosts.js';
import type { TestHost } from './newHosts.js';

const SIZES = [0, 200_000, 6_000_000, 9_000_000, 20_000_000, 40_000_000, 64_000_000];
const PAUSES_MS = [0, 200];

/** Sends a request and reads its answer after a pause; @returns its length, and whether it is whole. */
const readLate = ({ callers }: TestHost, id: string, pauseMs: number) =>
  new Promise<{ bytes: number; isWhole: boolean }>((resolve, reject) => {
    const [host, port] = callers.split(':');
    const headers = { host: HOST_NAME, 'x-api-key': CUSTOMER_KEY, 'attempt-id': id };
    const sent = httpRequest({ host, port, method: 'POST', path: '/lookup/7', headers });
    sent.once('response', async (answer) => {
      let bytes = 0;
      await sleep(pauseMs);
      answer.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
      });
      answer.once('close', () => resolve({ bytes, isWhole: answer.complete }));
    });
    sent.once('error', reject);
    sent.end('x');
  });

test.serial('large answers without a length end no host, however late they are read', async (t) => {
  // Guards against hosts that end as an upstream closes while a caller is slow to read its answer, each
  // one to which the caller sends its request again.
  const { platform, system, checkHosts } = await newMemorySystem(t);
  for (const size of SIZES) {
    platform.plain.forEach(({ faults }) => Object.assign(faults, { unframedBytes: size }));
    for (const pauseMs of PAUSES_MS) {
      const answers = await Promise.all(
        system.hosts.map((host) => readLate(host, `${host.name}-${size}-${pauseMs}`, pauseMs)),
      );
      t.deepEqual(
        answers,
        system.hosts.map(() => ({ bytes: size, isWhole: true })),
      );
    }
  }
  checkHosts();
  platform.plain.forEach(({ faults }) => Object.assign(faults, { unframedBytes: null }));
  const stopLookups = startLookups(system.hosts);
  await sleep(500);
  t.true((await stopLookups()).every(({ status }) => status === 200));
});

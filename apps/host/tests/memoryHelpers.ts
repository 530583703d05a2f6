import newPlatform, { newOperatorSettings } from '@cyclamengate/app-platform-standin/newPlatform';
import type { ExecutionContext } from 'ava';
import { newHosts, send, sleep } from './newHosts.js';
import type { Answer, TestHost } from './newHosts.js';
import watchMemory from './watchMemory.js';

export const MAX_BODY_BYTES = 33_554_432;
/** Memory beyond which the platform ends a host, and the flag with which it starts one. */
const MEMORY_MB = 390;
const NODE_FLAGS = ['--max-old-space-size=220'];
const DOMAINS = ['detroit', 'cleveland', 'milwaukee'];
const LOOKUP_PAUSE_MS = 30;
const LOOKUP_TIMEOUT_MS = 1_500;
/** Large requests take as long as a machine that is short of processor time needs. */
const LARGE_REQUEST_TIMEOUT_MS = 60_000;

/** Starts hosts with the memory of the smallest deployment, and watches that they keep to it. */
export const newMemorySystem = async (t: ExecutionContext) => {
  const platform = await newPlatform({ domains: DOMAINS, enginesPerDomain: 2 });
  const settings = newOperatorSettings(2);
  platform.publish('config', {
    ...settings,
    routes: settings.routes.map((route) =>
      route.name === 'lookups' ? { ...route, 'timeout-ms': LARGE_REQUEST_TIMEOUT_MS } : route,
    ),
    limits: { ...settings.limits, 'max-body-bytes': MAX_BODY_BYTES },
  });
  const system = await newHosts(platform, DOMAINS, undefined, {}, NODE_FLAGS);
  const memory = watchMemory(system.hosts);
  t.teardown(async () => {
    memory.close();
    await system.close();
    await platform.close();
  });
  const checkHosts = (): void => {
    system.hosts.forEach(({ child }) => t.is(child.exitCode ?? child.signalCode, null));
    t.log(`at most ${Math.round(memory.peakMb())} MB`);
    t.true(memory.peakMb() < MEMORY_MB);
  };
  const [first, second, third] = system.hosts as [TestHost, TestHost, TestHost];
  return { platform, system, first, second, third, checkHosts };
};

/** Sends small requests to each host in turn; @returns what ends them and gives their answers. */
export const startLookups = (hosts: TestHost[]): (() => Promise<Answer[]>) => {
  const answers: Answer[] = [];
  let isOver = false;
  const run = async (): Promise<void> => {
    for (let count = 0; !isOver; count += 1) {
      const host = hosts[count % hosts.length] as TestHost;
      const headers = { 'deadline-ms': String(LOOKUP_TIMEOUT_MS) };
      answers.push(await send(host, 'GET', `/lookup/${count}`, { id: `lookup-${count}`, headers }));
      await sleep(LOOKUP_PAUSE_MS);
    }
  };
  const running = run();
  return async () => {
    isOver = true;
    await running;
    return answers;
  };
};

export const isRefusedForNow = ({ status, headers }: Answer): boolean =>
  status === 503 && Number(headers['retry-after']) > 0;

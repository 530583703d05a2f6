import newPlatform from '@cyclamengate/app-platform-standin/newPlatform';
import type { Platform } from '@cyclamengate/app-platform-standin/newPlatform';
import { newHosts, waitUntil } from './newHosts.js';
import type { TestHost } from './newHosts.js';

const DOMAINS = ['detroit', 'cleveland'];

/**
 * A stand-in platform with engines, and hosts in both failure domains.
 * @param prepare changes the platform before the hosts start
 */
export const newSystem = async (
  enginesPerDomain = 2,
  count = 3,
  prepare: (platform: Platform) => void = () => {},
  nodeFlags: string[] = [],
) => {
  const platform = await newPlatform({ domains: DOMAINS, enginesPerDomain });
  prepare(platform);
  const domains = Array.from({ length: count }, (_, index) => DOMAINS[index % 2] ?? 'detroit');
  const system = await newHosts(platform, domains, undefined, {}, nodeFlags);
  const close = async (): Promise<void> => {
    await system.close();
    await platform.close();
  };
  const [first, second, third] = system.hosts;
  if (!first || !second || !third) throw new Error('three hosts are needed');
  return { platform, system, first, second, third, close };
};

/** Waits for the host that runs items: its log event may arrive after the engine has the request. */
export const findRunner = async (hosts: TestHost[]): Promise<TestHost> => {
  const find = (): TestHost | undefined =>
    hosts.find(({ events }) => events.some(({ event }) => event === 'item.started'));
  await waitUntil(() => find() !== undefined);
  return find() as TestHost;
};

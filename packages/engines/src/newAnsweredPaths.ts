import type Clock from '@cyclamengate/common/Clock';
import type { UpstreamRequest } from './UpstreamClient.js';

const ANSWERED_TTL_MS = 60_000;
/** The path that was answered longest ago is forgotten first. */
const MAX_PATHS = 4_096;

const formatKey = (service: string, { customer, method, path }: UpstreamRequest): string =>
  `${service} ${customer ?? ''} ${method} ${path}`;

/** Remembers which paths upstreams have answered to this host lately. */
const newAnsweredPaths = (clock: Clock) => {
  const expiresAt = new Map<string, number>();

  return {
    add: (service: string, request: UpstreamRequest): void => {
      const key = formatKey(service, request);
      expiresAt.delete(key);
      expiresAt.set(key, clock.now() + ANSWERED_TTL_MS);
      const [oldest] = expiresAt.keys();
      if (expiresAt.size > MAX_PATHS && oldest !== undefined) expiresAt.delete(oldest);
    },
    has: (service: string, request: UpstreamRequest): boolean =>
      clock.now() < (expiresAt.get(formatKey(service, request)) ?? -Infinity),
  };
};

export default newAnsweredPaths;

import type { Suspect } from './suspect.js';

/** A request is refused after this many upstreams have died while running it. */
export const DEADLY_UPSTREAM_COUNT = 2;
const MAX_SUSPECTS = 1_024;
const MAX_SUSPECTS_PER_EXCHANGE = 16;

/**
 * Tracks requests that may crash the upstreams that run them, merged over all hosts. For each
 * request the dead upstreams are stored as a set, so a death that is reported twice counts once.
 */
const newSuspects = () => {
  const upstreamsByDigest = new Map<string, Set<string>>();

  const add = (digest: string, upstream: string): void => {
    const upstreams = upstreamsByDigest.get(digest) ?? new Set<string>();
    upstreams.add(upstream);
    upstreamsByDigest.delete(digest);
    upstreamsByDigest.set(digest, upstreams);
    const [oldest] = upstreamsByDigest.keys();
    if (upstreamsByDigest.size > MAX_SUSPECTS && oldest) upstreamsByDigest.delete(oldest);
  };

  return {
    add,
    merge: (received: readonly Suspect[]): void =>
      received.forEach(({ digest, upstreams }) => {
        const known = upstreamsByDigest.get(digest);
        upstreams
          .filter((upstream) => !known?.has(upstream))
          .forEach((upstream) => add(digest, upstream));
      }),
    suspectsToSend: (): Suspect[] =>
      [...upstreamsByDigest]
        .slice(-MAX_SUSPECTS_PER_EXCHANGE)
        .map(([digest, upstreams]) => ({ digest, upstreams: [...upstreams] })),
    isDeadly: (digest: string): boolean =>
      (upstreamsByDigest.get(digest)?.size ?? 0) >= DEADLY_UPSTREAM_COUNT,
  };
};

export type Suspects = ReturnType<typeof newSuspects>;

export default newSuspects;

import type { Suspect } from './suspect.js';

/** A request is refused once this many upstreams have died while running it. */
export const DEADLY_UPSTREAMS = 2;
const SUSPECTS_KEPT = 1_024;
const SUSPECTS_TOLD = 16;

/**
 * Requests under suspicion of killing the upstreams that run them, merged over all hosts. Deaths
 * are kept as sets of upstreams, so hearing of one twice does not count it twice.
 */
const newSuspects = () => {
  const upstreamsByDigest = new Map<string, Set<string>>();

  const add = (digest: string, upstream: string): void => {
    const upstreams = upstreamsByDigest.get(digest) ?? new Set<string>();
    upstreams.add(upstream);
    upstreamsByDigest.delete(digest);
    upstreamsByDigest.set(digest, upstreams);
    const [oldest] = upstreamsByDigest.keys();
    if (upstreamsByDigest.size > SUSPECTS_KEPT && oldest) upstreamsByDigest.delete(oldest);
  };

  return {
    add,
    learn: (told: readonly Suspect[]): void =>
      told.forEach(({ digest, upstreams }) => {
        const known = upstreamsByDigest.get(digest);
        upstreams
          .filter((upstream) => !known?.has(upstream))
          .forEach((upstream) => add(digest, upstream));
      }),
    tell: (): Suspect[] =>
      [...upstreamsByDigest]
        .slice(-SUSPECTS_TOLD)
        .map(([digest, upstreams]) => ({ digest, upstreams: [...upstreams] })),
    isDeadly: (digest: string): boolean =>
      (upstreamsByDigest.get(digest)?.size ?? 0) >= DEADLY_UPSTREAMS,
  };
};

export type Suspects = ReturnType<typeof newSuspects>;

export default newSuspects;

import type Clock from '@cyclamengate/common/Clock';
import type { Exchange } from './exchange.js';
import type { Membership } from './newMembership.js';
import type { Peer } from './newPeer.js';

const BEAT_MS = 1_000;
/** Up to here members beat once a second; more of them beat more slowly, at the same cost for each. */
const MEMBERS_AT_FULL_BEAT = 64;

export interface GossipOptions {
  clock: Clock;
  membership: Membership;
  seeds: readonly string[];
  peerAt: (url: string) => Peer;
  tell: () => Exchange;
  learn: (told: Exchange) => void;
  beat: () => void;
  random: () => number;
}

/** Exchanges news with one peer a beat, now and then a seed, so that halves that met a cut rejoin. */
const gossip = async (options: GossipOptions, signal: AbortSignal): Promise<void> => {
  const { clock, membership, seeds, peerAt, tell, learn, beat, random } = options;
  const SEED_CHANCE = 0.2;

  const pick = (): string | undefined => {
    const known = membership.others().map(({ peerUrl }) => peerUrl);
    const from = known.length === 0 || random() < SEED_CHANCE ? [...seeds, ...known] : known;
    return from[Math.floor(random() * from.length)];
  };

  while (!signal.aborted) {
    const slowdown = Math.max(1, membership.others().length / MEMBERS_AT_FULL_BEAT);
    const nextBeat = clock.now() + BEAT_MS * slowdown;
    beat();
    const url = pick();
    const answer = url ? await peerAt(url).exchange(tell()) : null;
    if (answer?.ok) learn(answer.val);
    await clock.sleepUntil(nextBeat, signal);
  }
};

export default gossip;

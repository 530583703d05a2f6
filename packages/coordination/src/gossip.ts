import type Clock from '@cyclamengate/common/Clock';
import type { Exchange } from './exchange.js';
import type { Membership } from './newMembership.js';
import type { Peer } from './newPeer.js';

const HEARTBEAT_INTERVAL_MS = 1_000;
/**
 * Up to this number of members, heartbeats are sent once a second. With more members they are sent
 * less often, so that the cost per member stays constant.
 */
const MAX_MEMBERS_AT_FULL_RATE = 64;

export interface GossipOptions {
  clock: Clock;
  membership: Membership;
  seeds: readonly string[];
  peerAt: (url: string) => Peer;
  buildExchange: () => Exchange;
  applyExchange: (received: Exchange) => void;
  advanceHeartbeat: () => void;
  random: () => number;
}

/**
 * Exchanges state with one random peer per heartbeat. Seeds are included with a fixed probability,
 * so that the two sides of a network partition rejoin after it ends.
 */
const gossip = async (options: GossipOptions, signal: AbortSignal): Promise<void> => {
  const {
    clock,
    membership,
    seeds,
    peerAt,
    buildExchange,
    applyExchange,
    advanceHeartbeat,
    random,
  } = options;
  const SEED_PROBABILITY = 0.2;

  const pickPeer = (): string | undefined => {
    const known = membership.others().map(({ peerUrl }) => peerUrl);
    const candidates =
      known.length === 0 || random() < SEED_PROBABILITY ? [...seeds, ...known] : known;
    return candidates[Math.floor(random() * candidates.length)];
  };

  while (!signal.aborted) {
    const slowdown = Math.max(1, membership.others().length / MAX_MEMBERS_AT_FULL_RATE);
    const nextExchangeAt = clock.now() + HEARTBEAT_INTERVAL_MS * slowdown;
    advanceHeartbeat();
    const url = pickPeer();
    const answer = url ? await peerAt(url).exchange(buildExchange()) : null;
    if (answer?.ok) applyExchange(answer.val);
    await clock.sleepUntil(nextExchangeAt, signal);
  }
};

export default gossip;

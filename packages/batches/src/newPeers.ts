import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import { createTRPCClient, httpLink, TRPCClientError } from '@trpc/client';
import type { BatchRecord } from './batchRecord.js';
import { writeOutcomeSchema } from './peerRouter.js';
import type { PeerRouter } from './peerRouter.js';

/** Asked at once: with a third of the hosts cut off from the store, one in 27 times all three are. */
const MOST_ASKED = 3;
/** A host that reaches the store writes within 10 ms; the call crosses failure domains twice. */
const KEEP_MS = 600;
const ANSWER_MS = 200;

/** Another host, as its heartbeats tell of it. */
export interface Peer {
  host: string;
  failureDomain: string;
  /** IP address and port for other hosts. */
  address: string;
}

export interface PeersOptions {
  clock: Clock;
  log: EventLog;
  failureDomain: string;
  /** Hosts that were live when this one last heard of them, without itself. */
  readPeers: () => Peer[];
  random?: () => number;
}

/** Peers in a random order, those of other failure domains first: a cut mostly takes a whole one. */
export const choosePeers = (
  peers: Peer[],
  failureDomain: string,
  random: () => number = Math.random,
): Peer[] =>
  peers
    .map((peer) => ({ peer, at: random() + (peer.failureDomain === failureDomain ? 1 : 0) }))
    .sort((left, right) => left.at - right.at)
    .slice(0, MOST_ASKED)
    .map(({ peer }) => peer);

/**
 * Other hosts, which may reach the store while this one does not.
 *
 * The store turns single hosts away, or a link between them fails, for seconds. A caller that came
 * to such a host would be refused though the system could serve it.
 */
const newPeers = ({ clock, log, failureDomain, readPeers, random }: PeersOptions) => {
  const askOne = async (peer: Peer, record: BatchRecord): Promise<WriteOutcome> => {
    const url = `http://${peer.address}/trpc`;
    const client = createTRPCClient<PeerRouter>({ links: [httpLink({ url })] });
    const signal = AbortSignal.timeout(KEEP_MS + ANSWER_MS);
    try {
      const answer = await client.keep.mutate({ record, withinMs: KEEP_MS }, { signal });
      return writeOutcomeSchema.parse(answer);
    } catch (error) {
      // A peer that never got the call can't be told from one whose answer was lost.
      const reason = error instanceof TRPCClientError ? error.message : String(error);
      log.warn('peer.no-answer', { peer: peer.host, reason });
      return 'unknown';
    }
  };

  return {
    /** Asks some peers to write a record; ends with the first that has. */
    keep: async (record: BatchRecord): Promise<WriteOutcome> => {
      const chosen = choosePeers(readPeers(), failureDomain, random);
      const startedAt = clock.now();
      const asked = chosen.map((peer) => askOne(peer, record));
      const written = asked.map(async (answer) =>
        (await answer) === 'written' ? ('written' as const) : Promise.reject(new Error('not yet')),
      );
      const outcome: WriteOutcome = await Promise.any(written).catch(async () =>
        (await Promise.all(asked)).includes('unknown') ? 'unknown' : 'not-written',
      );
      log.info('peers.asked', {
        type: record.type,
        peers: chosen.map(({ host }) => host),
        outcome,
        tookMs: Math.round(clock.now() - startedAt),
      });
      return outcome;
    },
  };
};

export type Peers = ReturnType<typeof newPeers>;

export default newPeers;

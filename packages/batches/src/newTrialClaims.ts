import rendezvousRank from '@cyclamengate/common/rendezvousRank';
import type { Trials } from '@cyclamengate/engines/newSuspectGate';
import { emptyAnswer, trialAnswer } from './peerAnswers.js';
import type { PeerAddress, PeerAnswer, PeerCall, PeerCalls } from './newPeerCalls.js';

/** A host that can grant a trial answers within a few milliseconds. */
const CLAIM_TIMEOUT_MS = 300;
/** Hosts that are asked in order of preference; one that is gone is passed over. */
const MAX_ARBITERS = 3;

export interface TrialClaimsOptions {
  calls: Pick<PeerCalls, 'ask'>;
  host: string;
  /** Other hosts that were live according to the last heartbeats that this host has read. */
  readPeers: () => PeerAddress[];
}

/**
 * Lets one host at a time try a request whose hold has ended.
 *
 * Copies of a request that ends upstreams wait at several hosts, and all of them would be sent in the
 * moment the hold ends. Each host asks the one that ranks first for the request among the live ones.
 * A host that reaches none of the first three decides for itself.
 */
const newTrialClaims = ({ calls, host, readPeers }: TrialClaimsOptions): Trials => {
  /** The hosts that grant trials of a request, in order of preference; null stands for this host. */
  const rankArbiters = (digest: string): (PeerAddress | null)[] => {
    const peers = new Map(readPeers().map((peer) => [peer.host, peer]));
    return rendezvousRank(`trials/${digest}`, [host, ...peers.keys()])
      .slice(0, MAX_ARBITERS)
      .map((name) => peers.get(name) ?? null);
  };

  const askFirst = async <Value>(
    digest: string,
    call: PeerCall<Value>,
  ): Promise<PeerAnswer<Value> | null> => {
    for (const arbiter of rankArbiters(digest)) {
      if (arbiter === null) return null;
      const answer = await calls.ask(arbiter, CLAIM_TIMEOUT_MS, call);
      if (answer.type === 'answer') return answer;
    }
    return null;
  };

  return {
    claim: async (digest, crashes) => {
      const answer = await askFirst(digest, {
        name: 'claimTrial',
        answer: trialAnswer,
        run: (client, signal) => client.claimTrial.mutate({ digest, crashes }, { signal }),
      });
      return answer?.type === 'answer' && answer.value > 0 ? answer.value : null;
    },
    cancel: (digest) => {
      void askFirst(digest, {
        name: 'cancelTrial',
        answer: emptyAnswer,
        run: (client, signal) => client.cancelTrial.mutate(digest, { signal }),
      });
    },
  };
};

export default newTrialClaims;

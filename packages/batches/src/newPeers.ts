import type Clock from '@cyclamengate/common/Clock';
import type { Heartbeat } from '@cyclamengate/hosts/coordinationRecord';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { Batch, BatchChange, Handover } from './batchRecord.js';
import newBeginOrders, { PATIENCE_MS } from './newBeginOrders.js';
import type { BeginCandidate, BeginOrderOptions } from './newBeginOrders.js';
import newPeerCalls from './newPeerCalls.js';
import type { PeerAnswer } from './newPeerCalls.js';
import { writeOutcomeSchema } from './peerRouter.js';
import type { Touch } from './peerRouter.js';

/** Asked at once: with a third of the hosts cut off from the store, one in 27 times all three are. */
const MOST_ASKED = 3;
/** A host that reaches the store writes within 10 ms; the call crosses failure domains twice. */
const KEEP_MS = 500;
const ANSWER_MS = 150;
/** A look at the store takes 300 ms where it is away. */
const TOUCH_MS = 800;
/** Hosts that are asked in turn to take a batch over; a third of them may be cut off as well. */
const MOST_SUCCESSORS = 5;

/** Another host, as its heartbeats tell of it. */
export interface Peer extends BeginCandidate {
  failureDomain: string;
}

export interface PeersOptions extends Omit<BeginOrderOptions, 'calls' | 'readPeers'> {
  clock: Clock;
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

const isAnswer = <Value>(answer: PeerAnswer<Value> | undefined, value: Value): boolean =>
  answer?.type === 'answer' && answer.value === value;

/**
 * Other hosts, which may reach the store while this one does not.
 *
 * The store turns single hosts away, or a link between them fails, for seconds. A caller that came
 * to such a host would be refused though the system could serve it.
 */
const newPeers = (options: PeersOptions) => {
  const { clock, log, failureDomain, readPeers, rank, random } = options;
  const calls = newPeerCalls(clock, log);
  const { ask, askNow } = calls;
  const beginOrders = newBeginOrders({ ...options, calls });

  const askToKeep = async (peer: Peer, record: BatchChange): Promise<WriteOutcome> => {
    const answer = await askNow(peer, KEEP_MS + ANSWER_MS, {
      name: 'keep',
      run: (client, signal) => client.keep.mutate({ record, withinMs: KEEP_MS }, { signal }),
    });
    // A peer that never got the call can't be told from one whose answer was lost.
    return answer.type === 'answer' ? writeOutcomeSchema.parse(answer.value) : 'unknown';
  };

  const peersByName = (): Map<string, Peer> =>
    new Map(readPeers().map((peer) => [peer.host, peer]));

  /** Other hosts in the order in which they come for a batch. */
  const successorsOf = (batch: Batch): Peer[] => {
    const peers = peersByName();
    return rank(batch, [...peers.values()]).flatMap((name) => peers.get(name) ?? []);
  };

  return {
    begin: beginOrders.begin,
    /**
     * Has the next host in turn go on with a batch.
     * @returns that host's name; null where none takes it
     */
    handOver: async (handover: Handover): Promise<string | null> => {
      const { batch, texts } = handover;
      for (const peer of successorsOf(batch).slice(0, MOST_SUCCESSORS)) {
        const answer = await ask(peer, PATIENCE_MS, {
          name: 'takeOver',
          run: (client, signal) => client.takeOver.mutate(handover, { signal }),
        });
        if (isAnswer(answer, true)) {
          log.info('batch.handed-over', { batch: batch.id, to: peer.host, texts: texts.length });
          return peer.host;
        }
      }
      log.warn('batch.not-handed-over', { batch: batch.id, texts: texts.length });
      return null;
    },
    /** Has others write down that this host, which does not reach the store, takes no new work. */
    announce: async (heartbeat: Heartbeat): Promise<boolean> => {
      for (const peer of choosePeers(readPeers(), failureDomain, random)) {
        const answer = await ask(peer, KEEP_MS + ANSWER_MS, {
          name: 'announce',
          run: (client, signal) => client.announce.mutate(heartbeat, { signal }),
        });
        if (isAnswer(answer, true)) return true;
      }
      return false;
    },
    /**
     * How well others reach the store that this host does not reach: the best of those asked. Just
     * after a cut has healed none has answered lately, and one that is not asked for that reason
     * would let this host take the cut for an outage for all.
     */
    touch: async (): Promise<Touch> => {
      const chosen = choosePeers(readPeers(), failureDomain, random);
      const answers = await Promise.all(
        chosen.map((peer) =>
          askNow(peer, TOUCH_MS, {
            name: 'touch',
            run: (client, signal) => client.touch.query(undefined, { signal }),
          }),
        ),
      );
      if (answers.some((answer) => isAnswer(answer, 'steady'))) return 'steady';
      return answers.some((answer) => isAnswer(answer, 'new')) ? 'new' : 'none';
    },
    /** Asks some peers to write a record; ends with the first that has. */
    keep: async (record: BatchChange): Promise<WriteOutcome> => {
      const chosen = choosePeers(readPeers(), failureDomain, random);
      const startedAt = clock.now();
      const asked = chosen.map((peer) => askToKeep(peer, record));
      const written = asked.map(async (answer) =>
        (await answer) === 'written' ? ('written' as const) : Promise.reject(new Error('not yet')),
      );
      const outcome: WriteOutcome = await Promise.any(written).catch(async () =>
        (await Promise.all(asked)).includes('unknown') ? 'unknown' : 'not-written',
      );
      log.info('peers.asked', {
        type: record.type,
        peers: chosen.map((peer) => peer.host),
        outcome,
        tookMs: Math.round(clock.now() - startedAt),
      });
      return outcome;
    },
  };
};

export type Peers = ReturnType<typeof newPeers>;

export default newPeers;

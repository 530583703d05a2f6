import type Clock from '@cyclamengate/common/Clock';
import type { OddValues } from '@cyclamengate/common/newOddValues';
import type { Evacuation } from '@cyclamengate/engines/newEvacuations';
import type { UpstreamCrash } from '@cyclamengate/engines/upstreamCrash';
import type { Heartbeat } from '@cyclamengate/hosts/coordinationRecord';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { Batch, BatchChange, BatchOwner, Handover } from './batchRecord.js';
import newBatchDispatcher, { CALL_TIMEOUT_MS } from './newBatchDispatcher.js';
import type { BeginCandidate, BatchDispatcherOptions } from './newBatchDispatcher.js';
import newPeerCalls from './newPeerCalls.js';
import type { PeerAnswer, PeerCall } from './newPeerCalls.js';
import newTrialClaims from './newTrialClaims.js';
import {
  booleanAnswer,
  crashesAnswer,
  evacuationsAnswer,
  reachabilityAnswer,
  settingsAnswer,
  writeAnswer,
} from './peerAnswers.js';
import type { StoreReachability } from './peerRouter.js';

/**
 * Number of peers that are asked concurrently: with a third of the hosts partitioned from the
 * store, all three are partitioned in one of 27 cases.
 */
const MAX_PEERS_ASKED = 3;
/** A host that reaches the store writes within 10 ms; the call crosses failure domains twice. */
const WRITE_TIMEOUT_MS = 500;
const ROUND_TRIP_MS = 150;
/** A host needs 300 ms to probe a store that is unavailable. */
const PROBE_TIMEOUT_MS = 800;
/**
 * Number of hosts that are asked in order of preference to take a batch over; a third of them may
 * be partitioned as well.
 */
const MAX_SUCCESSORS = 5;

/** Another host, as described by its heartbeats. */
export type Peer = BeginCandidate;

export interface PeersOptions extends Omit<BatchDispatcherOptions, 'calls' | 'readPeers'> {
  clock: Clock;
  oddValues: OddValues;
  failureDomain: string;
  /** Other hosts that were live according to the last heartbeats that this host has read. */
  readPeers: () => Peer[];
  random?: () => number;
}

/**
 * Chooses peers at random, those of other failure domains first: a network partition mostly affects
 * a whole failure domain.
 */
export const choosePeers = (
  peers: Peer[],
  failureDomain: string,
  random: () => number = Math.random,
): Peer[] =>
  peers
    .map((peer) => ({ peer, order: random() + (peer.failureDomain === failureDomain ? 1 : 0) }))
    .sort((left, right) => left.order - right.order)
    .slice(0, MAX_PEERS_ASKED)
    .map(({ peer }) => peer);

const isAnswer = <Value>(answer: PeerAnswer<Value> | undefined, value: Value): boolean =>
  answer?.type === 'answer' && answer.value === value;

/**
 * Calls other hosts, which may reach the store while this one does not.
 *
 * The store rejects single hosts, or a link to it fails, for seconds. A caller of such a host would
 * be refused although the system could serve it.
 */
const newPeers = (options: PeersOptions) => {
  const { clock, log, failureDomain, self, readPeers, mayHold, rank, random } = options;
  const calls = newPeerCalls(clock, log, options.oddValues);
  const { ask, askUncached } = calls;
  const dispatcher = newBatchDispatcher({ ...options, calls });

  const askToWrite = async (peer: Peer, record: BatchChange): Promise<WriteOutcome> => {
    const answer = await askUncached(peer, WRITE_TIMEOUT_MS + ROUND_TRIP_MS, {
      name: 'keep',
      answer: writeAnswer,
      run: (client, signal) =>
        client.keep.mutate({ record, withinMs: WRITE_TIMEOUT_MS }, { signal }),
    });
    // A peer that did not receive the call cannot be distinguished from one whose answer was lost.
    return answer.type === 'answer' ? answer.value : 'unknown';
  };

  /** Calls some peers; @returns the values of those that answer. */
  const askSome = async <Value>(call: PeerCall<Value>): Promise<Value[]> => {
    const chosen = choosePeers(readPeers(), failureDomain, random);
    const answers = await Promise.all(chosen.map((peer) => ask(peer, CALL_TIMEOUT_MS, call)));
    return answers.flatMap((answer) => (answer.type === 'answer' ? [answer.value] : []));
  };

  /** Other hosts that may hold the requests of a batch. */
  const readHolders = (batch: BatchOwner): Peer[] =>
    readPeers().filter((peer) => mayHold(batch, peer.failureDomain));

  /** Other hosts in order of preference for a batch. */
  const rankSuccessors = (batch: Batch): Peer[] => {
    const peers = new Map(readHolders(batch).map((peer) => [peer.host, peer]));
    return rank(batch, [...peers.values()]).flatMap((name) => peers.get(name) ?? []);
  };

  return {
    begin: dispatcher.begin,
    trials: newTrialClaims({ calls, host: self.host, readPeers }),
    /**
     * Hands a batch over to the first host in order of preference that takes it.
     * @returns the name of that host; null if no host takes it
     */
    handOver: async (handover: Handover): Promise<string | null> => {
      const { batch, texts } = handover;
      for (const peer of rankSuccessors(batch).slice(0, MAX_SUCCESSORS)) {
        const answer = await ask(peer, CALL_TIMEOUT_MS, {
          name: 'takeOver',
          answer: booleanAnswer,
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
    /**
     * Asks other hosts to announce that this host, which does not reach the store, takes no new
     * work.
     */
    announce: async (heartbeat: Heartbeat): Promise<boolean> => {
      for (const peer of choosePeers(readPeers(), failureDomain, random)) {
        const answer = await ask(peer, WRITE_TIMEOUT_MS + ROUND_TRIP_MS, {
          name: 'announce',
          answer: booleanAnswer,
          run: (client, signal) => client.announce.mutate(heartbeat, { signal }),
        });
        if (isAnswer(answer, true)) return true;
      }
      return false;
    },
    /**
     * Probes how well other hosts reach the store that this host does not reach, and returns the
     * best result. Hosts that were unreachable a moment ago are probed too: just after a partition
     * has healed no host has answered lately, and without probes this host would take the partition
     * for a general outage.
     */
    probeStoreAccess: async (): Promise<StoreReachability> => {
      const chosen = choosePeers(readPeers(), failureDomain, random);
      const answers = await Promise.all(
        chosen.map((peer) =>
          askUncached(peer, PROBE_TIMEOUT_MS, {
            name: 'touch',
            answer: reachabilityAnswer,
            run: (client, signal) => client.touch.query(undefined, { signal }),
          }),
        ),
      );
      if (answers.some((answer) => isAnswer(answer, 'steady'))) return 'steady';
      return answers.some((answer) => isAnswer(answer, 'new')) ? 'new' : 'none';
    },
    /**
     * Exchanges crashes of upstreams with some peers.
     * @returns the crashes that the peers know
     */
    exchangeCrashes: async (crashes: UpstreamCrash[]): Promise<UpstreamCrash[]> => {
      const known = await askSome({
        name: 'exchangeCrashes',
        answer: crashesAnswer,
        run: (client, signal) => client.exchangeCrashes.mutate(crashes, { signal }),
      });
      return known.flat();
    },
    /** Asks some peers for the operator's settings that are newer than a version. */
    fetchNewerSettings: async (version: number): Promise<string[]> => {
      const sources = await askSome({
        name: 'findNewerSettings',
        answer: settingsAnswer,
        run: (client, signal) => client.findNewerSettings.query(version, { signal }),
      });
      return sources.filter((source) => source !== null);
    },
    /** Asks some peers which failure domains are evacuated. */
    fetchEvacuations: async (): Promise<Evacuation[]> => {
      const known = await askSome({
        name: 'listEvacuations',
        answer: evacuationsAnswer,
        run: (client, signal) => client.listEvacuations.query(undefined, { signal }),
      });
      return known.flat();
    },
    /** Asks some peers to write a record; returns as soon as one has written it. */
    write: async (record: BatchChange): Promise<WriteOutcome> => {
      const eligible = record.type === 'batch' ? readHolders(record) : readPeers();
      const chosen = choosePeers(eligible, failureDomain, random);
      const startedAt = clock.now();
      const pendingWrites = chosen.map((peer) => askToWrite(peer, record));
      const successfulWrites = pendingWrites.map(async (answer) =>
        (await answer) === 'written'
          ? ('written' as const)
          : Promise.reject(new Error('not written')),
      );
      const outcome: WriteOutcome = await Promise.any(successfulWrites).catch(async () =>
        (await Promise.all(pendingWrites)).includes('unknown') ? 'unknown' : 'not-written',
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

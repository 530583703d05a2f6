import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Batch, BatchOwner } from './batchRecord.js';
import chooseExecutor from './chooseExecutor.js';
import type { ExecutorReply } from './chooseExecutor.js';
import { beginAnswer, booleanAnswer, emptyAnswer } from './peerAnswers.js';
import { describeAnswer } from './newPeerCalls.js';
import type { PeerAddress, PeerAnswer, PeerCall, PeerCalls } from './newPeerCalls.js';
import type { BatchExecutor, BeginOutcome } from './peerRouter.js';

/**
 * Number of hosts that are asked whether they have begun a batch: a network partition mostly
 * affects a third of the hosts.
 */
const MAX_CANDIDATES = 6;
/**
 * A reachable host that does not answer may have executed the call, and is waited for. One that is
 * suspended for longer than this is passed over, or a step of some seconds would be late.
 */
export const CALL_TIMEOUT_MS = 2_000;

/** A host that may begin a batch. */
export interface BeginCandidate extends PeerAddress {
  /** Number of cores; may be a fraction. */
  cores: number;
  failureDomain: string;
}

export interface BatchDispatcherOptions {
  log: EventLog;
  calls: PeerCalls;
  /** This host. */
  self: BeginCandidate;
  /** Other hosts that were live according to the last heartbeats that this host has read. */
  readPeers: () => BeginCandidate[];
  /** Whether hosts of a failure domain may hold the requests of a batch. */
  mayHold: (batch: BatchOwner, failureDomain: string) => boolean;
  /** Ranks the names of hosts by preference for a batch; the ranking is the same on every host. */
  rank: (batch: Pick<Batch, 'id' | 'model'>, hosts: BeginCandidate[]) => string[];
  /** Begins a batch on this host. */
  beginHere: (batch: Batch) => BeginOutcome;
  /** Whether this host has begun a batch. */
  hasBegunHere: (batch: string) => boolean;
  /** Records on this host that another host has begun a batch. */
  recordExecutorHere: (begun: BatchExecutor) => void;
  /** Host that was reported to have begun a batch. */
  findReportedExecutor: (batch: string) => BatchExecutor | null;
}

/** Makes one host begin a batch that the store does not have yet. */
const newBatchDispatcher = (options: BatchDispatcherOptions) => {
  const { log, calls, self, readPeers, mayHold, rank } = options;
  const { beginHere, hasBegunHere, recordExecutorHere, findReportedExecutor } = options;

  const isSelf = ({ host }: PeerAddress): boolean => host === self.host;

  /** Calls a host, which may be this one. */
  const callHost = async <Value>(
    at: PeerAddress,
    runHere: () => Value,
    call: PeerCall<Value>,
  ): Promise<PeerAnswer<Value>> =>
    isSelf(at) ? { type: 'answer', value: runHere() } : calls.ask(at, CALL_TIMEOUT_MS, call);

  const hasBegunAt = (at: PeerAddress, id: string): Promise<PeerAnswer<boolean>> =>
    callHost(at, () => hasBegunHere(id), {
      name: 'hasBegun',
      answer: booleanAnswer,
      run: (client, signal) => client.hasBegun.query(id, { signal }),
    });

  const beginAt = (at: PeerAddress, batch: Batch): Promise<PeerAnswer<BeginOutcome>> =>
    callHost(at, () => beginHere(batch), {
      name: 'begin',
      answer: beginAnswer,
      run: (client, signal) => client.begin.mutate(batch, { signal }),
    });

  const reportExecutor = (at: PeerAddress, begun: BatchExecutor): Promise<PeerAnswer<void>> =>
    callHost(at, () => recordExecutorHere(begun), {
      name: 'noteBegun',
      answer: emptyAnswer,
      run: (client, signal) => client.noteBegun.mutate(begun, { signal }),
    });

  /**
   * Hosts that may run a batch, in order of preference. This host may know the reported executor
   * from that report only, if the executor joined just before the store became unavailable.
   */
  const candidatesFor = (batch: Batch, reported: BatchExecutor | null): PeerAddress[] => {
    const eligible = [self, ...readPeers()].filter((candidate) =>
      mayHold(batch, candidate.failureDomain),
    );
    const known = new Map(eligible.map((candidate) => [candidate.host, candidate]));
    const ranked = rank(batch, [...known.values()])
      .slice(0, MAX_CANDIDATES)
      .flatMap((name) => known.get(name) ?? []);
    const isIncluded = reported === null || ranked.some(({ host }) => host === reported.host);
    return isIncluded ? ranked : [...ranked, reported];
  };

  const askHasBegun = (candidates: PeerAddress[], id: string): Promise<ExecutorReply[]> =>
    Promise.all(
      candidates.map(async (at) => ({ host: at.host, answer: await hasBegunAt(at, id) })),
    );

  /**
   * Tells hosts in order of preference to begin a batch until one is neither leaving nor
   * unreachable.
   */
  const dispatch = async (
    batch: Batch,
    candidates: PeerAddress[],
    replies: ExecutorReply[],
    reported: BatchExecutor | null,
  ): Promise<void> => {
    const choice = chooseExecutor(replies, reported?.host ?? null);
    const at = candidates.find(({ host }) => host === choice?.host);
    if (!choice || !at) {
      log.warn('batch.not-begun', { batch: batch.id, asked: replies.map(({ host }) => host) });
      return;
    }
    const answer = choice.hasBegun ? null : await beginAt(at, batch);
    const outcome = answer ? describeAnswer(answer) : 'begun before';
    const answers = Object.fromEntries(
      replies.map((reply) => [reply.host, describeAnswer(reply.answer)]),
    );
    log.info('batch.begun-at', {
      batch: batch.id,
      runner: at.host,
      outcome,
      said: answers,
      heard: reported?.host ?? null,
    });
    if (outcome === 'leaving' || outcome === 'gone') {
      const others = replies.filter(({ host }) => host !== at.host);
      await dispatch(batch, candidates, others, reported);
      return;
    }
    if (outcome === 'kept' || reported?.host === at.host) return;
    const begun = { batch: batch.id, host: at.host, address: at.address };
    candidates.filter((other) => other !== at).forEach((other) => reportExecutor(other, begun));
  };

  return {
    /**
     * Makes the first reachable host in order of preference begin a batch, unless a host has begun
     * it already.
     *
     * A batch that is sent again may arrive at hosts that reach other candidates. So all candidates
     * are asked before one is told to begin, and late ones are waited for: if a late host were
     * assumed not to have begun the batch, it and the next host would both run it. A host that
     * acknowledges the order too late is not passed over either: when the batch is sent again, it
     * reports that it has begun it. The other candidates are told which host runs the batch, since
     * that host may be late again and the store may have the batch before the record of that host.
     */
    begin: async (batch: Batch): Promise<void> => {
      const reported = findReportedExecutor(batch.id);
      const candidates = candidatesFor(batch, reported);
      await dispatch(batch, candidates, await askHasBegun(candidates, batch.id), reported);
    },
  };
};

export default newBatchDispatcher;

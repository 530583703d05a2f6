import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Batch } from './batchRecord.js';
import chooseBeginner from './chooseBeginner.js';
import type { BeginnerAnswer } from './chooseBeginner.js';
import { wordOf } from './newPeerCalls.js';
import type { PeerAddress, PeerAnswer, PeerCall, PeerCalls } from './newPeerCalls.js';
import type { Beginner, BeginOutcome } from './peerRouter.js';

/** Hosts in turn that are asked whether they have begun a batch: a cut mostly takes a third. */
const MOST_BEGINNERS = 6;
/**
 * A host that is there and says nothing may have done what it was asked, and is waited for; one that
 * is suspended for longer is passed over, or a step of some seconds would be late.
 */
export const PATIENCE_MS = 2_000;

/** A host that may begin a batch. */
export interface BeginCandidate extends PeerAddress {
  /** In parts of one. */
  cores: number;
}

export interface BeginOrderOptions {
  log: EventLog;
  calls: PeerCalls;
  /** This host. */
  self: BeginCandidate;
  /** Other hosts that were live when this one last heard of them. */
  readPeers: () => BeginCandidate[];
  /** Names of hosts in the order in which they come for a batch; the same on every host. */
  rank: (batch: Pick<Batch, 'id' | 'model'>, hosts: BeginCandidate[]) => string[];
  /** Begins a batch on this host. */
  beginHere: (batch: Batch) => BeginOutcome;
  /** Whether this host has begun a batch. */
  hasBegunHere: (batch: string) => boolean;
  /** Notes here that another host has begun a batch. */
  noteBegunHere: (begun: Beginner) => void;
  /** The host that was said to have begun a batch. */
  heardBeginner: (batch: string) => Beginner | null;
}

/** Has one host begin a batch that the store does not have yet. */
const newBeginOrders = (options: BeginOrderOptions) => {
  const { log, calls, self, readPeers, rank } = options;
  const { beginHere, hasBegunHere, noteBegunHere, heardBeginner } = options;

  const isHere = ({ host }: PeerAddress): boolean => host === self.host;

  /** Asks a host, which may be this one. */
  const askAt = async <Value>(
    at: PeerAddress,
    here: () => Value,
    call: PeerCall<Value>,
  ): Promise<PeerAnswer<Value>> =>
    isHere(at) ? { type: 'answer', value: here() } : calls.ask(at, PATIENCE_MS, call);

  const hasBegunAt = (at: PeerAddress, id: string): Promise<PeerAnswer<boolean>> =>
    askAt(at, () => hasBegunHere(id), {
      name: 'hasBegun',
      run: (client, signal) => client.hasBegun.query(id, { signal }),
    });

  const beginAt = (at: PeerAddress, batch: Batch): Promise<PeerAnswer<BeginOutcome>> =>
    askAt(at, () => beginHere(batch), {
      name: 'begin',
      run: (client, signal) => client.begin.mutate(batch, { signal }),
    });

  const tell = (at: PeerAddress, begun: Beginner): Promise<PeerAnswer<void>> =>
    askAt(at, () => noteBegunHere(begun), {
      name: 'noteBegun',
      run: (client, signal) => client.noteBegun.mutate(begun, { signal }),
    });

  /**
   * Hosts that may run a batch, in turn. This one may know the host that is said to have begun it from
   * that word only: it came just before the store went away.
   */
  const candidatesFor = (batch: Batch, heard: Beginner | null): PeerAddress[] => {
    const known = new Map([self, ...readPeers()].map((candidate) => [candidate.host, candidate]));
    const ranked = rank(batch, [...known.values()])
      .slice(0, MOST_BEGINNERS)
      .flatMap((name) => known.get(name) ?? []);
    const isIncluded = heard === null || ranked.some(({ host }) => host === heard.host);
    return isIncluded ? ranked : [...ranked, heard];
  };

  const askAll = (candidates: PeerAddress[], id: string): Promise<BeginnerAnswer[]> =>
    Promise.all(
      candidates.map(async (at) => ({ host: at.host, answer: await hasBegunAt(at, id) })),
    );

  /** Has hosts in turn begin a batch, past those that leave or are gone by now. */
  const orderFirst = async (
    batch: Batch,
    candidates: PeerAddress[],
    asked: BeginnerAnswer[],
    heard: Beginner | null,
  ): Promise<void> => {
    const choice = chooseBeginner(asked, heard?.host ?? null);
    const at = candidates.find(({ host }) => host === choice?.host);
    if (!choice || !at) {
      log.warn('batch.not-begun', { batch: batch.id, asked: asked.map(({ host }) => host) });
      return;
    }
    const order = choice.hasBegun ? null : await beginAt(at, batch);
    const outcome = order ? wordOf(order) : 'begun before';
    const said = Object.fromEntries(asked.map(({ host, answer }) => [host, wordOf(answer)]));
    log.info('batch.begun-at', {
      batch: batch.id,
      runner: at.host,
      outcome,
      said,
      heard: heard?.host ?? null,
    });
    if (outcome === 'leaving' || outcome === 'gone') {
      const others = asked.filter(({ host }) => host !== at.host);
      await orderFirst(batch, candidates, others, heard);
      return;
    }
    if (outcome === 'kept' || heard?.host === at.host) return;
    const begun = { batch: batch.id, host: at.host, address: at.address };
    candidates.filter((other) => other !== at).forEach((other) => tell(other, begun));
  };

  return {
    /**
     * Has the first host in turn that can be reached begin a batch, unless one has begun it already.
     *
     * The batch comes again to other hosts, which may reach others of the first in turn. So all of
     * them are asked before one is told to begin, and one that is late is waited for: taken for one
     * that has not begun, it and the next host would both run the batch. One that answers the order
     * too late is not passed over either: the batch comes again, and it will say so then. The others
     * are told who it is, since it may be late again, and the store may have the batch before its word.
     */
    begin: async (batch: Batch): Promise<void> => {
      const heard = heardBeginner(batch.id);
      const candidates = candidatesFor(batch, heard);
      await orderFirst(batch, candidates, await askAll(candidates, batch.id), heard);
    },
  };
};

export default newBeginOrders;

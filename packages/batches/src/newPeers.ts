import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Heartbeat } from '@cyclamengate/hosts/coordinationRecord';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { Batch, BatchChange, Handover } from './batchRecord.js';
import chooseBeginner from './chooseBeginner.js';
import newPeerCalls from './newPeerCalls.js';
import type { PeerAddress, PeerAnswer } from './newPeerCalls.js';
import { writeOutcomeSchema } from './peerRouter.js';
import type { Beginner, Touch } from './peerRouter.js';

/** Asked at once: with a third of the hosts cut off from the store, one in 27 times all three are. */
const MOST_ASKED = 3;
/** A host that reaches the store writes within 10 ms; the call crosses failure domains twice. */
const KEEP_MS = 500;
const ANSWER_MS = 150;
/** A look at the store takes 300 ms where it is away. */
const TOUCH_MS = 800;
/** Hosts in turn that are asked whether they have begun a batch: a cut mostly takes a third. */
const MOST_BEGINNERS = 6;
/** Hosts that are asked in turn to take a batch over; a third of them may be cut off as well. */
const MOST_SUCCESSORS = 5;
/**
 * A host that is there and says nothing may have done what it was asked, and is waited for; one that
 * is suspended for longer is passed over, or a step of some seconds would be late.
 */
const PATIENCE_MS = 2_000;

/** Another host, as its heartbeats tell of it. */
export interface Peer {
  host: string;
  failureDomain: string;
  /** IP address and port for other hosts. */
  address: string;
  /** In parts of one. */
  cores: number;
}

export interface PeersOptions {
  clock: Clock;
  log: EventLog;
  failureDomain: string;
  /** Hosts that were live when this one last heard of them, without itself. */
  readPeers: () => Peer[];
  /** This host. */
  self: Pick<Peer, 'host' | 'cores' | 'address'>;
  /** Names of hosts in the order in which they come for a batch; the same on every host. */
  rank: (batch: Pick<Batch, 'id' | 'model'>, hosts: Pick<Peer, 'host' | 'cores'>[]) => string[];
  /** Begins a batch on this host. */
  beginHere: (batch: Batch) => boolean;
  /** Whether this host has begun a batch. */
  hasBegunHere: (batch: string) => boolean;
  /** Notes here that another host has begun a batch. */
  noteBegunHere: (begun: Beginner) => void;
  /** The host that was said to have begun a batch. */
  heardBeginner: (batch: string) => Beginner | null;
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

const wordOf = <Value>(answer: PeerAnswer<Value>): Value | string =>
  answer.type === 'answer' ? answer.value : answer.type;

/**
 * Other hosts, which may reach the store while this one does not.
 *
 * The store turns single hosts away, or a link between them fails, for seconds. A caller that came
 * to such a host would be refused though the system could serve it.
 */
const newPeers = (options: PeersOptions) => {
  const { clock, log, failureDomain, readPeers, self, rank, random } = options;
  const { beginHere, hasBegunHere, noteBegunHere, heardBeginner } = options;
  const { ask, askNow } = newPeerCalls(clock, log);

  const askToKeep = async (peer: Peer, record: BatchChange): Promise<WriteOutcome> => {
    const answer = await askNow(peer, KEEP_MS + ANSWER_MS, {
      name: 'keep',
      run: (client, signal) => client.keep.mutate({ record, withinMs: KEEP_MS }, { signal }),
    });
    // A peer that never got the call can't be told from one whose answer was lost.
    return answer.type === 'answer' ? writeOutcomeSchema.parse(answer.value) : 'unknown';
  };

  /** Whether a host has begun a batch. */
  const hasBegunAt = async (
    peer: PeerAddress | undefined,
    id: string,
  ): Promise<PeerAnswer<boolean>> =>
    peer
      ? ask(peer, PATIENCE_MS, {
          name: 'hasBegun',
          run: (client, signal) => client.hasBegun.query(id, { signal }),
        })
      : { type: 'answer', value: hasBegunHere(id) };

  const beginAt = async (
    peer: PeerAddress | undefined,
    batch: Batch,
  ): Promise<PeerAnswer<boolean>> =>
    peer
      ? ask(peer, PATIENCE_MS, {
          name: 'begin',
          run: (client, signal) => client.begin.mutate(batch, { signal }),
        })
      : { type: 'answer', value: beginHere(batch) };

  /** Has the other hosts that may come to run a batch know who has been told to. */
  const tellBegun = (begun: Beginner, names: string[], peers: Map<string, PeerAddress>): void => {
    if (begun.host !== self.host) noteBegunHere(begun);
    names
      .filter((name) => name !== begun.host)
      .flatMap((name) => peers.get(name) ?? [])
      .forEach((peer) =>
        ask(peer, PATIENCE_MS, {
          name: 'noteBegun',
          run: (client, signal) => client.noteBegun.mutate(begun, { signal }),
        }),
      );
  };

  const peersByName = (): Map<string, Peer> =>
    new Map(readPeers().map((peer) => [peer.host, peer]));

  /** Other hosts in the order in which they come for a batch. */
  const successorsOf = (batch: Batch): Peer[] => {
    const peers = peersByName();
    return rank(batch, [...peers.values()]).flatMap((name) => peers.get(name) ?? []);
  };

  return {
    /**
     * Has the first host in turn that can be reached begin a batch, unless one has begun it already.
     *
     * The batch comes again to other hosts, which may reach others of the first in turn. So all of
     * them are asked before one is told to begin, and one that is late is waited for: taken for one
     * that has not begun, it and the next host would both run the batch. One that answers the order
     * too late is not passed over either: the batch comes again, and it will say so then.
     */
    begin: async (batch: Batch): Promise<void> => {
      const peers: Map<string, PeerAddress> = peersByName();
      const ranked = rank(batch, [self, ...peersByName().values()]).slice(0, MOST_BEGINNERS);
      const heard = heardBeginner(batch.id);
      // This host may not have heard of it otherwise: it came just before the store went away.
      const isUnknown = heard !== null && heard.host !== self.host && !peers.has(heard.host);
      if (isUnknown) peers.set(heard.host, heard);
      const names = isUnknown ? [...ranked, heard.host] : ranked;
      const asked = await Promise.all(
        names.map(async (host) => ({ host, answer: await hasBegunAt(peers.get(host), batch.id) })),
      );
      const choice = chooseBeginner(asked, heard?.host ?? null);
      if (!choice) {
        log.warn('batch.not-begun', { batch: batch.id, asked: names });
        return;
      }
      const { host, hasBegun } = choice;
      const order = hasBegun ? null : await beginAt(peers.get(host), batch);
      const isRefused = order !== null && isAnswer(order, false);
      const { address } = peers.get(host) ?? self;
      const isNews = !isRefused && heard?.host !== host;
      if (isNews) tellBegun({ batch: batch.id, host, address }, names, peers);
      const said = asked.map(({ answer }) => wordOf(answer));
      const ordered = order && wordOf(order);
      log.info('batch.begun-at', {
        batch: batch.id,
        runner: host,
        ordered,
        asked: names,
        said,
        heard,
      });
    },
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

import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Heartbeat } from '@cyclamengate/hosts/coordinationRecord';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import { createTRPCClient, httpLink, TRPCClientError } from '@trpc/client';
import type { Batch, BatchChange, Handover } from './batchRecord.js';
import { writeOutcomeSchema } from './peerRouter.js';
import type { PeerRouter, Touch } from './peerRouter.js';

/** Asked at once: with a third of the hosts cut off from the store, one in 27 times all three are. */
const MOST_ASKED = 3;
/** A host that reaches the store writes within 10 ms; the call crosses failure domains twice. */
const KEEP_MS = 500;
const ANSWER_MS = 150;
/** A host that lives answers within 10 ms, a busy one within some hundred; some are beyond a cut. */
const FIND_MS = 800;
/** Hosts in turn that are asked whether they have begun a batch: a cut mostly takes a third. */
const MOST_BEGINNERS = 6;
/** A host that has just answered begins within this; later it may have begun all the same. */
const BEGIN_MS = 1_000;
/** A step's requests and texts are up to a megabyte, to be sent and read within a stop's seconds. */
const TAKE_OVER_MS = 800;
/** Hosts that are asked in turn to take a batch over; a third of them may be cut off as well. */
const MOST_SUCCESSORS = 5;
/** A host that did not answer is passed over for so long; cuts last some seconds. */
const UNREACHABLE_MS = 3_000;

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
  self: Pick<Peer, 'host' | 'cores'>;
  /** Names of hosts in the order in which they come for a batch; the same on every host. */
  rank: (batch: Pick<Batch, 'id' | 'model'>, hosts: Pick<Peer, 'host' | 'cores'>[]) => string[];
  /** Begins a batch on this host. */
  beginHere: (batch: Batch) => boolean;
  /** Whether this host has begun a batch. */
  hasBegunHere: (batch: string) => boolean;
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
const newPeers = (options: PeersOptions) => {
  const { clock, log, failureDomain, readPeers, self, rank, beginHere, hasBegunHere, random } =
    options;
  const unreachableUntil = new Map<string, number>();

  const newClient = (address: string) =>
    createTRPCClient<PeerRouter>({ links: [httpLink({ url: `http://${address}/trpc` })] });

  type PeerClient = ReturnType<typeof newClient>;
  const clients = new Map<string, PeerClient>();

  const clientOf = ({ address }: Peer): PeerClient => {
    const client = clients.get(address) ?? newClient(address);
    clients.set(address, client);
    return client;
  };

  const askOne = async (peer: Peer, record: BatchChange): Promise<WriteOutcome> => {
    const signal = AbortSignal.timeout(KEEP_MS + ANSWER_MS);
    try {
      const answer = await clientOf(peer).keep.mutate({ record, withinMs: KEEP_MS }, { signal });
      return writeOutcomeSchema.parse(answer);
    } catch (error) {
      // A peer that never got the call can't be told from one whose answer was lost.
      const reason = error instanceof TRPCClientError ? error.message : String(error);
      log.warn('peer.no-answer', { call: 'keep', peer: peer.host, reason });
      return 'unknown';
    }
  };

  interface PeerCall<Answer> {
    name: string;
    run: (client: PeerClient, signal: AbortSignal) => Promise<Answer>;
  }

  /** What a peer says, however it answered before; null where it says nothing. */
  const askAnyway = async <Answer>(
    peer: Peer,
    withinMs: number,
    call: PeerCall<Answer>,
  ): Promise<Answer | null> => {
    const startedAt = clock.now();
    try {
      return await call.run(clientOf(peer), AbortSignal.timeout(withinMs));
    } catch (error) {
      unreachableUntil.set(peer.host, clock.now() + UNREACHABLE_MS);
      const tookMs = Math.round(clock.now() - startedAt);
      const reason = (error as Error).message;
      log.warn('peer.no-answer', { call: call.name, peer: peer.host, tookMs, reason });
      return null;
    }
  };

  /** What a peer says that answered when it was asked last. */
  const ask = async <Answer>(
    peer: Peer,
    withinMs: number,
    call: PeerCall<Answer>,
  ): Promise<Answer | null> => {
    const until = unreachableUntil.get(peer.host) ?? -Infinity;
    if (clock.now() >= until) return askAnyway(peer, withinMs, call);
    const forMs = Math.round(until - clock.now());
    log.warn('peer.passed-over', { call: call.name, peer: peer.host, forMs });
    return null;
  };

  /** Whether a host has begun a batch; null where it does not say. */
  const hasBegunAt = async (peer: Peer | undefined, id: string): Promise<boolean | null> =>
    peer
      ? ask(peer, FIND_MS, {
          name: 'hasBegun',
          run: (client, signal) => client.hasBegun.query(id, { signal }),
        })
      : hasBegunHere(id);

  const beginAt = async (peer: Peer | undefined, batch: Batch): Promise<boolean | null> =>
    peer
      ? ask(peer, BEGIN_MS, {
          name: 'begin',
          run: (client, signal) => client.begin.mutate(batch, { signal }),
        })
      : beginHere(batch);

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
     * them are asked before one is told to begin; and one that answers the order too late is not
     * passed over, since it may have begun: the batch comes again, and it will say so then.
     */
    begin: async (batch: Batch): Promise<void> => {
      const peers = peersByName();
      const names = rank(batch, [self, ...peers.values()]).slice(0, MOST_BEGINNERS);
      const answers = await Promise.all(names.map((name) => hasBegunAt(peers.get(name), batch.id)));
      const [begunAt] = names.filter((_, index) => answers[index] === true);
      const [first] = names.filter((_, index) => answers[index] === false);
      const runner = begunAt ?? first;
      if (runner === undefined) {
        log.warn('batch.not-begun', { batch: batch.id, asked: names });
        return;
      }
      const isBegun = begunAt !== undefined || (await beginAt(peers.get(runner), batch)) === true;
      log.info('batch.begun-at', { batch: batch.id, runner, isBegun, answers });
    },
    /**
     * Has the next host in turn go on with a batch.
     * @returns that host's name; null where none takes it
     */
    handOver: async (handover: Handover): Promise<string | null> => {
      const { batch, texts } = handover;
      for (const peer of successorsOf(batch).slice(0, MOST_SUCCESSORS)) {
        const isTaken = await ask(peer, TAKE_OVER_MS, {
          name: 'takeOver',
          run: (client, signal) => client.takeOver.mutate(handover, { signal }),
        });
        if (isTaken) {
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
        const isWritten = await ask(peer, KEEP_MS + ANSWER_MS, {
          name: 'announce',
          run: (client, signal) => client.announce.mutate(heartbeat, { signal }),
        });
        if (isWritten) return true;
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
          askAnyway(peer, FIND_MS, {
            name: 'touch',
            run: (client, signal) => client.touch.query(undefined, { signal }),
          }),
        ),
      );
      if (answers.includes('steady')) return 'steady';
      return answers.includes('new') ? 'new' : 'none';
    },
    /** Asks some peers to write a record; ends with the first that has. */
    keep: async (record: BatchChange): Promise<WriteOutcome> => {
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

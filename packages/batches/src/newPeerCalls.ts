import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import { createTRPCClient, httpLink } from '@trpc/client';
import isListening from './isListening.js';
import type { PeerRouter } from './peerRouter.js';

/** Then it is looked whether the host is there at all; most calls take less. */
const PROBE_AFTER_MS = 150;
/** Then the call is made a second time: the first one's connection may be silent for good. */
const REPEAT_AFTER_MS = 800;
/** A host that is gone is not asked for so long; cuts last some seconds. */
const GONE_MS = 3_000;

/** How another host is reached. */
export interface PeerAddress {
  host: string;
  /** IP address and port for other hosts. */
  address: string;
}

export type PeerClient = ReturnType<typeof createTRPCClient<PeerRouter>>;

/** A call to another host, which may arrive more than once. */
export interface PeerCall<Value> {
  name: string;
  run: (client: PeerClient, signal: AbortSignal) => Promise<Value>;
}

/**
 * What became of a call. A host that is `gone` does not accept connections: it is down, or beyond a
 * cut. One that is `late` is there and has not answered in time: it may have done what it was asked.
 */
export type PeerAnswer<Value> = { type: 'answer'; value: Value } | { type: 'late' | 'gone' };

/** What a host said, or how it was silent; for a log line. */
export const wordOf = <Value>(answer: PeerAnswer<Value>): Value | string =>
  answer.type === 'answer' ? answer.value : answer.type;

/** Calls to other hosts, which tell one that is late from one that is gone. */
const newPeerCalls = (clock: Clock, log: EventLog) => {
  const clients = new Map<string, PeerClient>();
  const goneUntil = new Map<string, number>();

  const clientOf = ({ address }: PeerAddress): PeerClient => {
    const client =
      clients.get(address) ??
      createTRPCClient<PeerRouter>({ links: [httpLink({ url: `http://${address}/trpc` })] });
    clients.set(address, client);
    return client;
  };

  /**
   * Looks whether a host is there, once a call has failed or is slow.
   * @param over the call has ended, and nobody needs to know
   */
  const isThere = async (
    peer: PeerAddress,
    failed: AbortSignal,
    over: AbortSignal,
  ): Promise<boolean> => {
    await clock.sleepUntil(clock.now() + PROBE_AFTER_MS, AbortSignal.any([failed, over]));
    if (over.aborted) return true;
    const is = await isListening(peer.address);
    if (!is) goneUntil.set(peer.host, clock.now() + GONE_MS);
    return is;
  };

  const askNow = async <Value>(
    peer: PeerAddress,
    limitMs: number,
    call: PeerCall<Value>,
  ): Promise<PeerAnswer<Value>> => {
    const over = new AbortController();
    const failed = new AbortController();
    const signal = AbortSignal.any([over.signal, AbortSignal.timeout(limitMs)]);
    const startedAt = clock.now();
    let reason = 'silent';
    const run = async (): Promise<Value> => {
      signal.throwIfAborted();
      return call.run(clientOf(peer), signal);
    };
    const first = run().catch((error: Error) => {
      reason = error.message;
      failed.abort('failed');
      throw error;
    });
    const second = clock
      .sleepUntil(startedAt + REPEAT_AFTER_MS, AbortSignal.any([signal, failed.signal]))
      .then(run);
    const there = isThere(peer, failed.signal, over.signal);
    const answer: PeerAnswer<Value> = await Promise.race([
      Promise.any([first, second]).then(
        (value) => ({ type: 'answer' as const, value }),
        async () => ({ type: (await there) ? ('late' as const) : ('gone' as const) }),
      ),
      there.then((is) => (is ? new Promise<never>(() => {}) : { type: 'gone' as const })),
    ]);
    over.abort('over');
    const { type } = answer;
    const tookMs = Math.round(clock.now() - startedAt);
    if (type !== 'answer') {
      log.warn('peer.no-answer', { peer: peer.host, call: call.name, type, tookMs, reason });
    }
    return answer;
  };

  const isGone = ({ host }: PeerAddress): boolean =>
    clock.now() < (goneUntil.get(host) ?? -Infinity);

  return {
    /** Calls a host, however it answered before. */
    askNow,
    /** Calls a host, unless it was gone a moment ago. */
    ask: async <Value>(
      peer: PeerAddress,
      limitMs: number,
      call: PeerCall<Value>,
    ): Promise<PeerAnswer<Value>> => {
      if (!isGone(peer)) return askNow(peer, limitMs, call);
      log.warn('peer.passed-over', { call: call.name, peer: peer.host });
      return { type: 'gone' };
    },
  };
};

export type PeerCalls = ReturnType<typeof newPeerCalls>;

export default newPeerCalls;

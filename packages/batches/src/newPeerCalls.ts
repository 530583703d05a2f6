import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import probeAddress from '@cyclamengate/common/probeAddress';
import sleepWhileResponsive from '@cyclamengate/common/sleepWhileResponsive';
import { createTRPCClient, httpLink } from '@trpc/client';
import type { PeerRouter } from './peerRouter.js';

/**
 * Delay before the host's reachability is probed; most calls take less. Delays and timeouts of calls
 * leave out the time for which this process could not run.
 */
const PROBE_AFTER_MS = 150;
/** Delay before the call is made a second time, since the connection of the first may be dead. */
const HEDGE_AFTER_MS = 800;
/** Time for which an unreachable host is not called again; network partitions last some seconds. */
const UNREACHABLE_TTL_MS = 3_000;

/** Address of another host. */
export interface PeerAddress {
  host: string;
  /** IP address and port for other hosts. */
  address: string;
}

export type PeerClient = ReturnType<typeof createTRPCClient<PeerRouter>>;

/** A call to another host, which may be delivered more than once. */
export interface PeerCall<Value> {
  name: string;
  run: (client: PeerClient, signal: AbortSignal) => Promise<Value>;
}

/**
 * Outcome of a call. A host that is `gone` does not accept connections: it is down or behind a
 * network partition. A host that is `late` accepts connections but has not answered in time, and
 * may have executed the call.
 */
export type PeerAnswer<Value> = { type: 'answer'; value: Value } | { type: 'late' | 'gone' };

/** A host's answer or the type of its failure, for a log line. */
export const describeAnswer = <Value>(answer: PeerAnswer<Value>): Value | string =>
  answer.type === 'answer' ? answer.value : answer.type;

/** Calls other hosts, and distinguishes late hosts from unreachable ones. */
const newPeerCalls = (clock: Clock, log: EventLog) => {
  const clients = new Map<string, PeerClient>();
  const unreachableUntil = new Map<string, number>();

  const getClient = ({ address }: PeerAddress): PeerClient => {
    const client =
      clients.get(address) ??
      createTRPCClient<PeerRouter>({ links: [httpLink({ url: `http://${address}/trpc` })] });
    clients.set(address, client);
    return client;
  };

  /**
   * Probes whether a host is reachable once a call to it has failed or is slow.
   * @param failed aborted when the call fails
   * @param ended aborted when the call has ended, so that the result is no longer needed
   */
  const probe = async (
    peer: PeerAddress,
    failed: AbortSignal,
    ended: AbortSignal,
  ): Promise<boolean> => {
    await sleepWhileResponsive(clock, PROBE_AFTER_MS, AbortSignal.any([failed, ended]));
    if (ended.aborted) return true;
    const isReachable = (await probeAddress(peer.address)) === 'listening';
    if (!isReachable) unreachableUntil.set(peer.host, clock.now() + UNREACHABLE_TTL_MS);
    return isReachable;
  };

  const askUncached = async <Value>(
    peer: PeerAddress,
    timeoutMs: number,
    call: PeerCall<Value>,
  ): Promise<PeerAnswer<Value>> => {
    const ended = new AbortController();
    const failed = new AbortController();
    const timedOut = new AbortController();
    const signal = AbortSignal.any([ended.signal, timedOut.signal]);
    sleepWhileResponsive(clock, timeoutMs, ended.signal).then(() => timedOut.abort('silent'));
    const startedAt = clock.now();
    let reason = 'silent';
    const run = async (): Promise<Value> => {
      signal.throwIfAborted();
      return call.run(getClient(peer), signal);
    };
    const first = run().catch((error: Error) => {
      reason = error.message;
      failed.abort('failed');
      throw error;
    });
    const second = sleepWhileResponsive(
      clock,
      HEDGE_AFTER_MS,
      AbortSignal.any([signal, failed.signal]),
    ).then(run);
    const reachability = probe(peer, failed.signal, ended.signal);
    const answer: PeerAnswer<Value> = await Promise.race([
      Promise.any([first, second]).then(
        (value) => ({ type: 'answer' as const, value }),
        async () => ({ type: (await reachability) ? ('late' as const) : ('gone' as const) }),
      ),
      reachability.then((isReachable) =>
        isReachable ? new Promise<never>(() => {}) : { type: 'gone' as const },
      ),
    ]);
    ended.abort('over');
    const { type } = answer;
    const tookMs = Math.round(clock.now() - startedAt);
    if (type !== 'answer') {
      log.warn('peer.no-answer', { peer: peer.host, call: call.name, type, tookMs, reason });
    }
    return answer;
  };

  const isKnownUnreachable = ({ host }: PeerAddress): boolean =>
    clock.now() < (unreachableUntil.get(host) ?? -Infinity);

  return {
    /** Calls a host even if it was unreachable a moment ago. */
    askUncached,
    /** Calls a host unless it was unreachable a moment ago. */
    ask: async <Value>(
      peer: PeerAddress,
      timeoutMs: number,
      call: PeerCall<Value>,
    ): Promise<PeerAnswer<Value>> => {
      if (!isKnownUnreachable(peer)) return askUncached(peer, timeoutMs, call);
      log.warn('peer.passed-over', { call: call.name, peer: peer.host });
      return { type: 'gone' };
    },
  };
};

export type PeerCalls = ReturnType<typeof newPeerCalls>;

export default newPeerCalls;

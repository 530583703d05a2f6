import { isAddress } from '@cyclamengate/common/address';
import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { OddValues } from '@cyclamengate/common/newOddValues';
import probeAddress from '@cyclamengate/common/probeAddress';
import { formatProblems, restore } from '@cyclamengate/common/restore';
import sleepWhileResponsive from '@cyclamengate/common/sleepWhileResponsive';
import { createTRPCClient, httpLink } from '@trpc/client';
import type { ZodType } from 'zod';
import newAnswerFetch from './newAnswerFetch.js';
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
/** Another writer may name thousands of hosts; when there are more, all entries are made again. */
const MAX_KEPT_ADDRESSES = 1_024;
/** The words of a peer's error may be of any length. */
const MAX_REASON_CHARACTERS = 200;

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
  /** What the host may answer; anything else counts as no answer. */
  answer: ZodType<Value>;
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

const describeError = (error: unknown): string =>
  String((error as Error | null)?.message ?? error).slice(0, MAX_REASON_CHARACTERS);

const setBounded = <Value>(entries: Map<string, Value>, key: string, value: Value): void => {
  if (entries.size >= MAX_KEPT_ADDRESSES && !entries.has(key)) entries.clear();
  entries.set(key, value);
};

/** Calls other hosts, and distinguishes late hosts from unreachable ones. A call never rejects. */
const newPeerCalls = (clock: Clock, log: EventLog, oddValues: OddValues) => {
  const clients = new Map<string, PeerClient>();
  const unreachableUntil = new Map<string, number>();

  const getClient = ({ address }: PeerAddress): PeerClient => {
    const known = clients.get(address);
    if (known) return known;
    if (!isAddress(address)) throw new Error('not an address');
    const fetch = newAnswerFetch((reason) =>
      oddValues.reject('peers', 'peer.odd-answer', { address, reason }),
    );
    const link = httpLink({ url: `http://${address}/trpc`, fetch });
    const client = createTRPCClient<PeerRouter>({ links: [link] });
    setBounded(clients, address, client);
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
    if (!isReachable) setBounded(unreachableUntil, peer.host, clock.now() + UNREACHABLE_TTL_MS);
    return isReachable;
  };

  const checkAnswer = <Value>(peer: PeerAddress, call: PeerCall<Value>, raw: unknown): Value => {
    const answer = restore(call.answer, raw);
    if (answer.ok) return answer.val;
    const problems = answer.val.slice(0, 3);
    oddValues.reject('peers', 'peer.odd-answer', { peer: peer.host, call: call.name, problems });
    throw new Error(formatProblems(problems));
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
    void sleepWhileResponsive(clock, timeoutMs, ended.signal).then(() => timedOut.abort('silent'));
    const startedAt = clock.now();
    let reason = 'silent';
    const run = async (): Promise<Value> => {
      signal.throwIfAborted();
      return checkAnswer(peer, call, await call.run(getClient(peer), signal));
    };
    const first = run().catch((error: unknown) => {
      reason = describeError(error);
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

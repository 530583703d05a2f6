import type { UpstreamEntry } from './upstreamEntry.js';
import type { ReportedLoad } from './newLoads.js';

/** A request as it goes to an upstream. */
export interface UpstreamRequest {
  requestId: string;
  method: string;
  /** Path and query, unchanged. */
  path: string;
  /** The name that the caller asked for. */
  hostName: string;
  /** The caller's headers that go on. */
  headers: Record<string, string>;
  body: Buffer;
  /** Rank among requests at a model engine, 0 first; null to leave it to the upstream. */
  priority?: number | null;
  /** Name of the customer, where the settings have customers and the route is not public. */
  customer: string | null;
  /** On the monotonic clock; the upstream is told what is left. Null for none. */
  deadline: number | null;
  /** Number of the last event that is already there; the upstream goes on after it. */
  lastEventId: string | null;
  /** It may run once at most, so it is never sent on a connection that may be dead already. */
  mustNotRepeat?: boolean;
}

/** The head of an upstream's answer. */
export interface UpstreamAnswer {
  status: number;
  /** Headers that go back to the caller, as the upstream wrote them. */
  headers: Record<string, string>;
  /** The upstream's signature of its answer; null where it gave none. */
  signature: string | null;
  load: ReportedLoad | null;
  /** Version of the weights at the first token; null where none was named. */
  version: number | null;
  isEventStream: boolean;
  body: AsyncIterable<Buffer>;
}

/** Why there is no answer. */
export type UpstreamFault =
  /** Nothing ran: the upstream said so, or it was never reached. */
  | { type: 'not-run'; reason: string; isUnreachable: boolean; load: ReportedLoad | null }
  /** It may have run. */
  | { type: 'unknown'; reason: string };

export type UpstreamOutcome =
  { type: 'answer'; answer: UpstreamAnswer } | { type: 'fault'; fault: UpstreamFault };

/** Speaks to upstreams. */
export default abstract class UpstreamClient {
  /**
   * Sends one request to one upstream, which must be the run that `entry` names.
   * @param firstByteBy monotonic time by which the head of the answer must be there
   * @param signal ends the request; the upstream notices by its closed connection
   */
  abstract send(
    entry: UpstreamEntry,
    request: UpstreamRequest,
    firstByteBy: number,
    signal: AbortSignal,
  ): Promise<UpstreamOutcome>;

  /** Whether a request to the upstream needs no new connection. */
  abstract isConnected(entry: UpstreamEntry): boolean;

  /** Closes what is open to an upstream that is gone. */
  abstract forget(entry: UpstreamEntry): void;
}

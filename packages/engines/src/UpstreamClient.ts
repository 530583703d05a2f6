import type { UpstreamEntry } from './upstreamEntry.js';
import type { ReportedLoad } from './newLoads.js';
import type { RequestWork } from './upstreamCrash.js';

/** A request as it is sent to an upstream. */
export interface UpstreamRequest {
  requestId: string;
  /** A caller's call if absent. */
  work?: RequestWork;
  method: string;
  /** Path and query string, unchanged. */
  path: string;
  /** Host name that the caller addressed. */
  hostName: string;
  /** The caller's headers that are forwarded. */
  headers: Record<string, string>;
  body: Buffer;
  /** Scheduling priority at a model engine, 0 is the highest; null lets the upstream decide. */
  priority?: number | null;
  /** Name of the customer; null if the settings define no customers or the route is public. */
  customer: string | null;
  /** On the monotonic clock; the upstream receives the remaining time. Null for none. */
  deadline: number | null;
  /** Id of the last event that was received; the upstream resumes after it. */
  lastEventId: string | null;
  /** The request may run at most once, so it is never sent on a connection that may be dead. */
  mustNotRepeat?: boolean;
}

/** An upstream's answer: status and headers, with the body as a stream. */
export interface UpstreamAnswer {
  status: number;
  /** Headers that are forwarded to the caller, as the upstream sent them. */
  headers: Record<string, string>;
  /** The upstream's signature of its answer; null if the answer is unsigned. */
  signature: string | null;
  load: ReportedLoad | null;
  /** Version of the weights at the first token; null if the upstream reported none. */
  version: number | null;
  isEventStream: boolean;
  /** Whether the answer says where its body ends; if not, the close of its connection ends it. */
  hasLength: boolean;
  body: AsyncIterable<Buffer>;
}

/** Why a request got no answer. */
export type UpstreamFault =
  /** The request has not run: the upstream reported so, or it was never reached. */
  | { type: 'not-run'; reason: string; isUnreachable: boolean; load: ReportedLoad | null }
  /** The request may have run. */
  | { type: 'unknown'; reason: string }
  /**
   * The request was not sent, since upstreams ended while they ran it. It may be sent again once
   * the monotonic clock reaches `retryAt`.
   */
  | { type: 'held'; retryAt: number };

export type UpstreamOutcome =
  { type: 'answer'; answer: UpstreamAnswer } | { type: 'fault'; fault: UpstreamFault };

/** Sends requests to upstreams. */
export default abstract class UpstreamClient {
  /**
   * Sends a request to the incarnation of an upstream that `entry` describes.
   * @param firstByteDeadline monotonic time by which the head of the answer must have arrived
   * @param signal aborts the request by closing its connection, which the upstream detects
   */
  abstract send(
    entry: UpstreamEntry,
    request: UpstreamRequest,
    firstByteDeadline: number,
    signal: AbortSignal,
  ): Promise<UpstreamOutcome>;

  /**
   * When a request that ended upstreams of a service may be sent again, on the monotonic clock; null
   * if it is not held.
   */
  abstract heldUntil(service: string, request: UpstreamRequest): number | null;

  /** Whether a connection to the upstream is open and can take a request. */
  abstract isConnected(entry: UpstreamEntry): boolean;

  /**
   * Whether an upstream has ended: its machine responds, and no process listens at its address.
   * False if this cannot be told, as behind a network partition.
   */
  abstract hasEnded(entry: UpstreamEntry): Promise<boolean>;

  /** Closes all connections to an upstream that has been removed. */
  abstract closeConnections(entry: UpstreamEntry): void;
}

import type { ColdLimit } from '@cyclamengate/engines/newColdLimits';

/** Whether a route's requests may be repeated, or whether they are batches. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'batch';

/** A service that gets a fraction of a route's requests, in proportion to its weight. */
export interface Split {
  service: string;
  weight: number;
}

export interface Route {
  name: string;
  hostName: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Whether the answer is a stream of events. */
  isStream: boolean;
  /** Whether a stream may be resumed after its last event. */
  isResumable: boolean;
  /** Whether all events of a result must come from one version of the weights. */
  isSingleVersion: boolean;
  /** Whether requests need no key. */
  isPublic: boolean;
  /** Maximum time that a caller waits for an answer, in milliseconds. */
  timeoutMs: number;
  /** Latency target: answers within this time have the highest value, in milliseconds. */
  targetLatencyMs: number;
  /** Maximum number of upstreams that one request of a caller may be sent to. */
  maxUpstreams: number;
  /** Priority among routes; 0 is the highest. */
  priority: number;
  splits: Split[];
  /** Regions in which its requests may run; null for all. */
  homes: string[] | null;
  /** Time after a batch is accepted until its results are due, in milliseconds; 0 for no limit. */
  resultsDueMs: number;
  /**
   * Time after a batch is accepted until its items may be abandoned, in milliseconds; 0 for never.
   */
  retentionMs: number;
}

/** Bounds on a service's upstreams per failure domain, and their prices. */
export interface Scaling {
  minUpstreams: number;
  maxUpstreams: number;
  /** Time from an order until the upstream serves requests, in milliseconds. */
  bootMs: number;
  /** Price of a spot upstream as a fraction of the ordinary price; null if there are none. */
  spotPrice: number | null;
  domainPrices: Record<string, number>;
}

export interface Service {
  name: string;
  /** Maximum number of connections that an upstream accepts from all hosts together. */
  maxConnections: number;
  /** What its upstreams bear while cold; null for any load. */
  coldLimit: ColdLimit | null;
  /** Models that the service's upstreams run; empty for a plain service. */
  models: string[];
  scaling: Scaling | null;
}

export interface Customer {
  name: string;
  keys: string[];
  priority: number | null;
  /** Weight relative to other customers while places are scarce. */
  share: number;
  /** Regions in which its requests may run; null for all. */
  homes: string[] | null;
}

/** Limits on requests of callers, in bytes and milliseconds. */
export interface Limits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** The complete settings of the operator. */
export interface OperatorSettings {
  version: number;
  routes: Route[];
  services: Service[];
  limits: Limits;
  /** Null if no customers are defined; requests then need no key. */
  customers: Customer[] | null;
}

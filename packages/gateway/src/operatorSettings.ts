/** What may be repeated, and how a route answers. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'batch';

/** A part of a route's requests goes to this service. */
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
  /** The answer is a series of events. */
  isStream: boolean;
  /** A stream may be taken up again after its last event. */
  isResumable: boolean;
  /** All events of a result must come from one version of the weights. */
  isSingleVersion: boolean;
  /** Needs no key. */
  isPublic: boolean;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  timeoutMs: number;
  /** Time within which an answer is worth most, in milliseconds. */
  targetLatencyMs: number;
  /** Upstreams to which one attempt of a caller may be sent. */
  mostUpstreams: number;
  /** Rank among routes; 0 goes first. */
  priority: number;
  splits: Split[];
  /** A batch's results are due so long after it was accepted, in milliseconds; 0 for none. */
  resultsDueMs: number;
  /** An item may be given up so long after its batch was accepted, in milliseconds; 0 for never. */
  retentionMs: number;
}

/** How many upstreams of a service may be ordered, and at what price. */
export interface Scaling {
  least: number;
  most: number;
  /** From order to service, in milliseconds. */
  bootMs: number;
  /** Price of an upstream that may be reclaimed, as a part of the ordinary price; null for none. */
  spotPrice: number | null;
  domainPrices: Record<string, number>;
}

export interface Service {
  name: string;
  /** Connections that one upstream accepts from all hosts together. */
  mostConnections: number;
  /** Models that its upstreams run; empty for a plain service. */
  models: string[];
  scaling: Scaling | null;
}

export interface Customer {
  name: string;
  keys: string[];
  priority: number | null;
}

/** Bounds on what a caller may send, in bytes and milliseconds. */
export interface Limits {
  mostHeaderBytes: number;
  mostBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** The operator's settings, whole. */
export interface OperatorSettings {
  version: number;
  routes: Route[];
  services: Service[];
  limits: Limits;
  /** Null where no customers are kept: requests then need no key. */
  customers: Customer[] | null;
}

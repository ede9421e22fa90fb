/**
 * The operator's configuration of routes, services, tenants and request limits, for deployments in which back ends are called
 * at their own address. Durations are in milliseconds, sizes in bytes.
 */

import type { WarmUp } from '../model/warm-up.js';

/** Whether a request may be sent again after a back end may already have run it. */
export type Repeatability =
  /** Idempotent: it may be run any number of times. */
  | 'always'
  /** It must be run at most once. */
  | 'never'
  /** An event stream that another back end can continue after a given event. */
  | 'resumable';

/** A service that a route forwards to, and its share of the route's requests. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** Where requests for a host and a path prefix are forwarded, and how they are treated. */
export interface Route {
  name: string;
  host: string;
  /** Starts and ends with a slash. */
  pathPrefix: string;
  targets: RouteTarget[];
  isStream: boolean;
  repeatability: Repeatability;
  /** Longest time for which the operator wants a request to be held. */
  timeout: number;
  /** Latency objective: an answer within this time has its full value. */
  objective: number;
  /** Longest pause between two events of a stream that still meets the objective; 0 if none is declared. */
  longestPause: number;
  /** A caller of a stream disconnects after this time without an event, which includes the wait for the first event. */
  patience: number;
  /** 0 is the highest priority. */
  priority: number;
  /** Maximum number of back ends to which one request may be sent. */
  maxAttempts: number;
  /** Requests need no API key. */
  isPublic: boolean;
  /** Regions in which requests may be served; undefined for any. */
  regions?: readonly string[] | undefined;
}

/** A model that an engine service serves. */
export interface ServedModel {
  name: string;
}

/** What the operator declares about the engines of a service. */
export interface EngineShape {
  /** Number of requests that one engine runs concurrently. */
  slots: number;
  models: ServedModel[];
  /** Number of layers of a model. */
  layers: number;
  /** Number of pieces in which the weights of a version are transferred, and the size of one piece in bytes. */
  pieceCount: number;
  pieceBytes: number;
  /** Prompt tokens that an engine processes per second (prefill). */
  readTokensPerSecond: number;
  /** Time in which a fully loaded engine generates one token for each of its requests. */
  tokenTime: number;
}

/** A service of back ends. */
export interface BackEndService {
  name: string;
  /** Maximum number of connections that one back end accepts from all callers together. */
  maxConnections: number;
  engine: EngineShape | undefined;
  /** Undefined if its back ends bear as many requests after a start as ever. */
  warmUp?: WarmUp | undefined;
  /** Path of the health answers of its back ends; undefined if they give none. */
  healthPath?: string | undefined;
}

/** The origin of weights. The list of back ends does not contain its address, so the configuration names it. */
export interface OriginEndpoint {
  service: string;
  address: string;
}

/** Limits on the requests that a caller sends. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeout: number;
  idleTimeout: number;
}

/** A tenant and the API keys by which its callers are recognised. */
export interface DeclaredTenant {
  name: string;
  keys: string[];
  /** 0 is the highest priority; overrides the priority of the route. */
  priority: number | undefined;
  /** Regions in which the tenant's requests may be served, beside those of the route; undefined for any. */
  regions?: readonly string[] | undefined;
}

/** A complete configuration; a higher revision replaces a lower one. */
export interface FleetConfiguration {
  revision: number;
  routes: Route[];
  services: BackEndService[];
  origin: OriginEndpoint | undefined;
  limits: CallerLimits;
  /** Undefined if requests carry no API keys. */
  tenants: DeclaredTenant[] | undefined;
}

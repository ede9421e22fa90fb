/**
 * The operator's configuration for back ends that are called at their own address: routes, services, tenants and the
 * limits of callers' requests. Durations are in milliseconds, sizes in bytes.
 */

/** Whether a request may be run again after it may have run. */
export type Repeatability =
  /** Any number of times. */
  | 'always'
  /** Once at most. */
  | 'never'
  /** A stream of events that another back end can continue after a given event. */
  | 'resumable';

/** One service that a route leads to, and its share of the requests. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** Where requests of a host and a path prefix go, and how they are treated. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  targets: RouteTarget[];
  isStream: boolean;
  repeatability: Repeatability;
  /** Longest time for which the operator wants a request held. */
  timeout: number;
  /** Time within which an answer has its full worth. */
  objective: number;
  /** Longest pause between two events of a stream that is still in time; 0 where none is declared. */
  longestPause: number;
  /** After this without an event, the first one too, a caller of a stream leaves, in milliseconds. */
  patience: number;
  /** 0 is the most urgent. */
  priority: number;
  /** The most back ends that one request may be sent to. */
  maxAttempts: number;
  /** Requests need no key. */
  isPublic: boolean;
}

/** A model of an engine service. */
export interface ServedModel {
  name: string;
}

/** What the operator declares of the engines of a service. */
export interface EngineShape {
  /** Requests that one engine runs at the same time. */
  slots: number;
  models: ServedModel[];
  /** Number of layers of a model. */
  layers: number;
  /** Pieces in which the weights of a version are sent, and the bytes of each. */
  pieceCount: number;
  pieceBytes: number;
  /** Prompt tokens that an engine reads in a second. */
  readTokensPerSecond: number;
  /** Time in which a full engine writes one token of each of its requests. */
  tokenTime: number;
}

/** A service of back ends. */
export interface BackEndService {
  name: string;
  /** Connections that one back end accepts from all callers together. */
  maxConnections: number;
  engine: EngineShape | undefined;
}

/** The origin of weights: an address that is on no list. */
export interface OriginEndpoint {
  service: string;
  address: string;
}

/** Limits of what a caller may send. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeout: number;
  idleTimeout: number;
}

/** A tenant and the keys with which its callers name it. */
export interface DeclaredTenant {
  name: string;
  keys: string[];
  /** 0 is the most urgent; goes before the route's. */
  priority: number | undefined;
}

/** One whole configuration; a higher revision replaces a lower one. */
export interface FleetConfiguration {
  revision: number;
  routes: Route[];
  services: BackEndService[];
  origin: OriginEndpoint | undefined;
  limits: CallerLimits;
  /** Undefined where requests carry no keys. */
  tenants: DeclaredTenant[] | undefined;
}

/** Settings of processes in deployments whose back ends are called at their own address. Durations are in milliseconds. */

/** Location of a process and the addresses at which others reach it. */
export interface ProcessSettings {
  name: string;
  zone: string;
  region: string;
  /** Maps each zone to its region. */
  regions: Record<string, string>;
  /** `host:port` for connections from other processes of this system. */
  peers: string;
  /** `host:port` for the datagrams in which entries and agents negotiate slots of engines. */
  slots: string;
  /** `host:port` for metrics. */
  metrics: string;
  /** Seed addresses at which entries may be running. */
  seeds: string[];
  /** Time after its naming within which a version must be served everywhere. */
  versionBound: number;
}

/** Settings of an entry. */
export interface DirectEntrySettings extends ProcessSettings {
  /** Rate of the machine's link in Mbit/s; undefined if unknown. */
  linkRate?: number | undefined;
  /** `host:port` of the interfaces for callers, for the platform's readiness checks, and for callers that discover entries. */
  callers: string;
  ready: string;
  directory: string;
  /** Time for which callers may cache a resolved address, in seconds. */
  addressLifetimeSeconds: number;
  /** Interval at which back ends write their records to the store. */
  heartbeatInterval: number;
  /** Time from the stop signal until the process is killed. */
  graceTime: number;
  retries: {
    /** Retry budget of all entries together, as a share of the requests. */
    share: number;
    /** Retries allowed in addition to that share. */
    slack: number;
    /** Length of the sliding window over which retries are counted, in milliseconds. */
    span: number;
  };
}

/** Settings of an agent that runs beside an engine. */
export interface DirectAgentSettings extends ProcessSettings {
  /** `host:port` of the engine. */
  engine: string;
}

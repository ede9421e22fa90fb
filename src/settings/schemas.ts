/** Schemas of the settings of every role. Durations are in milliseconds and sizes in bytes unless the name says otherwise. */
import { z } from 'zod';

const address = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be an IPv4 address and a port, as in "127.0.0.1:9000"');
const url = z
  .string()
  .regex(
    /^http:\/\/(\d{1,3}\.){3}\d{1,3}:\d{1,5}(\/.*)?$/,
    'must be an http URL with an IPv4 address and a port',
  );
const name = z.string().min(1, 'must not be empty');

const location = { place: name, region: name, zone: name };
const log = z
  .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
  .prefault({});

/** Settings of `thistleway entry`. */
export const entrySettings = z.strictObject({
  ...location,
  listen: z.strictObject({
    /** For callers and operators (HTTP). */
    callers: address,
    /** For the system's own processes. */
    peers: address,
  }),
  /** Address to advertise to other processes instead of `listen.peers`. */
  advertisedPeers: address.optional(),
  /** The other entries of all zones, with their `peers` addresses. */
  entries: z.array(z.strictObject({ address, zone: name })).default([]),
  platform: z.strictObject({ tables: url, objects: url, machines: url }),
  bursts: z
    .strictObject({
      /** `tree` and `origin` are baselines for benchmarks. */
      strategy: z.enum(['swarm', 'tree', 'origin']).default('swarm'),
    })
    .prefault({}),
  discovery: z
    .strictObject({
      /** Time for which callers may cache the addresses that discovery returned. */
      addressLifetimeSeconds: z.number().int().min(1).default(20),
    })
    .prefault({}),
  calls: z
    .strictObject({
      /** Default time limit for a complete answer, used if the caller sets none. */
      deadline: z.number().int().min(100).default(60_000),
      /** Maximum number of concurrent requests at this entry. */
      inProgress: z.number().int().min(1).default(2_000),
      /** Maximum number of queued requests. */
      queued: z.number().int().min(0).default(500),
      /** Maximum time that a request waits in the queue. */
      queueTime: z.number().int().min(0).default(2_000),
    })
    .prefault({}),
  log,
});

/** Settings of `thistleway agent`. */
export const agentSettings = z.strictObject({
  ...location,
  listen: z.strictObject({
    /** For the system's own processes. */
    peers: address,
    /** For operators (HTTP). */
    operators: address,
  }),
  /** Address to advertise to other processes instead of `listen.peers`. */
  advertisedPeers: address.optional(),
  /** Entries that this agent may use as its home; those in its own zone are preferred. */
  entries: z.array(z.strictObject({ address, zone: name })).min(1, 'must name at least one entry'),
  backEnd: z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('engine'),
      url,
      /** Machines of one pool serve the same models. */
      pool: name,
      /** Number of requests that the engine runs concurrently. */
      capacity: z.number().int().min(1).default(16),
    }),
    z.strictObject({
      kind: z.literal('service'),
      url,
      /** Name by which callers address the service. */
      name,
      capacity: z.number().int().min(1).default(16),
    }),
  ]),
  origin: url,
  weights: z.strictObject({
    /** Memory for chunks; memory for control is not included. */
    memoryBytes: z.number().int().min(1),
    /** Maximum rate of chunk traffic on the machine's link. */
    linkBytesPerSecond: z.number().positive(),
    /** Whether sending and receiving share that rate (`shared`) or each have it (`full`). */
    linkDuplex: z.enum(['shared', 'full']).default('shared'),
  }),
  log,
});

/** Settings of `thistleway emulate platform`. */
export const platformEmulatorSettings = z.strictObject({
  listen: address,
  /** Capacity of the table service. */
  writesPerSecond: z.number().positive().default(300),
  readsPerSecond: z.number().positive().default(2_000),
  origin: z.strictObject({
    bytesPerSecond: z.number().positive(),
    /** The versions that the origin serves. */
    versions: z.array(
      z.strictObject({
        label: name,
        bytes: z.number().int().min(1),
        chunkBytes: z.number().int().min(1),
        /** Seed from which the bytes of the version are generated. */
        seed: z.number().int(),
        /** Chunks after this share of the version are generated from `changedSeed` instead. */
        unchangedShare: z.number().min(0).max(1).default(1),
        changedSeed: z.number().int().default(0),
      }),
    ),
  }),
  /** Delay after which changes appear in the machine list. */
  machineListLag: z.number().min(0).default(1_000),
});

/** How a stand-in back end refuses requests. */
const shedding = {
  /** Share of requests that it answers with 503, evenly spaced; none of them runs. */
  shedShare: z.number().min(0).max(1).default(0),
  /** `Retry-After` of these answers, in seconds; 0 for none. */
  retryAfterSeconds: z.number().min(0).default(0),
};

/** Settings of `thistleway emulate engine`. */
export const engineEmulatorSettings = z.strictObject({
  listen: address,
  /** False for an engine that executes every order, even a stale one. */
  checksFences: z.boolean().default(true),
  /** Maximum number of requests in one batch. */
  batch: z.number().int().min(1).default(16),
  /** Duration of one decoding step of the batch. */
  stepMilliseconds: z.number().positive().default(15),
  /** Prompt tokens processed per millisecond. */
  prefillTokensPerMillisecond: z.number().positive().default(20),
  /** Capacity of the prefix cache, in prompt tokens. */
  prefixCacheTokens: z.number().int().min(0).default(20_000),
  /** Time to load a version whose chunks are all staged. */
  loadMilliseconds: z.number().min(0).default(200),
  /** Delay with which the engine reports its load. */
  loadReportLag: z.number().min(0).default(300),
  /** Delay of cache events, and the fraction of them that is lost. */
  cacheEventLag: z.number().min(0).default(500),
  cacheEventLoss: z.number().min(0).max(1).default(0.05),
  ...shedding,
});

/** Settings of `thistleway emulate service`. */
export const serviceEmulatorSettings = z.strictObject({
  listen: address,
  /** Duration of a call. */
  callMilliseconds: z.number().min(0).default(10),
  ...shedding,
});

export type EntrySettings = z.output<typeof entrySettings>;
export type AgentSettings = z.output<typeof agentSettings>;
export type PlatformEmulatorSettings = z.output<typeof platformEmulatorSettings>;
export type EngineEmulatorSettings = z.output<typeof engineEmulatorSettings>;
export type ServiceEmulatorSettings = z.output<typeof serviceEmulatorSettings>;

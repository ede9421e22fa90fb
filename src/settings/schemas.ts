/** The settings of every role. Durations are in milliseconds, sizes in bytes, unless the name says otherwise. */
import { z } from 'zod';

const address = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be an IP number and a port, as in "127.0.0.1:9000"');
const url = z
  .string()
  .regex(
    /^http:\/\/(\d{1,3}\.){3}\d{1,3}:\d{1,5}(\/.*)?$/,
    'must be an http URL with an IP number and a port',
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
  /** Address that other processes are told for `listen.peers`, where it differs. */
  advertisedPeers: address.optional(),
  /** The other entries, of all zones: their addresses for the system's own processes. */
  entries: z.array(z.strictObject({ address, zone: name })).default([]),
  platform: z.strictObject({ tables: url, objects: url, machines: url }),
  bursts: z
    .strictObject({
      /** `tree` and `origin` are baselines for measurements. */
      strategy: z.enum(['swarm', 'tree', 'origin']).default('swarm'),
    })
    .prefault({}),
  discovery: z
    .strictObject({
      /** Time for which callers may keep the addresses that they were told. */
      addressLifetimeSeconds: z.number().int().min(1).default(20),
    })
    .prefault({}),
  calls: z
    .strictObject({
      /** Time for a whole answer where the caller names none. */
      deadline: z.number().int().min(100).default(60_000),
      /** Requests that run at this entry at the same time. */
      inProgress: z.number().int().min(1).default(2_000),
      /** Requests that wait for one of these to end. */
      queued: z.number().int().min(0).default(500),
      /** Longest wait of a request. */
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
  /** Address that others are told for `listen.peers`, where it differs. */
  advertisedPeers: address.optional(),
  /** Entries that this agent may use as its home, those of its own zone first. */
  entries: z.array(z.strictObject({ address, zone: name })).min(1, 'must name at least one entry'),
  backEnd: z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('engine'),
      url,
      /** Machines of one pool serve the same models. */
      pool: name,
      /** Requests that the engine runs at the same time. */
      capacity: z.number().int().min(1).default(16),
    }),
    z.strictObject({
      kind: z.literal('service'),
      url,
      /** Name under which callers reach the service. */
      name,
      capacity: z.number().int().min(1).default(16),
    }),
  ]),
  origin: url,
  weights: z.strictObject({
    /** Memory for chunks, apart from the memory for control. */
    memoryBytes: z.number().int().min(1),
    /** Rate that chunk traffic may take of the machine's link. */
    linkBytesPerSecond: z.number().positive(),
    /** Whether sending and receiving share that rate. */
    linkDuplex: z.enum(['shared', 'full']).default('shared'),
  }),
  log,
});

/** Settings of `thistleway emulate platform`. */
export const platformEmulatorSettings = z.strictObject({
  listen: address,
  /** Rates of the table service, a second. */
  writesPerSecond: z.number().positive().default(300),
  readsPerSecond: z.number().positive().default(2_000),
  origin: z.strictObject({
    bytesPerSecond: z.number().positive(),
    /** The versions that lie at the origin. */
    versions: z.array(
      z.strictObject({
        label: name,
        bytes: z.number().int().min(1),
        chunkBytes: z.number().int().min(1),
        /** The bytes follow from this number. */
        seed: z.number().int(),
        /** Chunks from this share of the version on come from `changedSeed` instead. */
        unchangedShare: z.number().min(0).max(1).default(1),
        changedSeed: z.number().int().default(0),
      }),
    ),
  }),
  /** Delay of the list of live and leaving machines. */
  machineListLag: z.number().min(0).default(1_000),
});

/** Settings of `thistleway emulate engine`. */
export const engineEmulatorSettings = z.strictObject({
  listen: address,
  /** False for an engine that carries out every order, however old. */
  checksFences: z.boolean().default(true),
  /** Requests in one batch. */
  batch: z.number().int().min(1).default(16),
  /** Time of one decoding step of the batch. */
  stepMilliseconds: z.number().positive().default(15),
  /** Prompt tokens read in a millisecond. */
  prefillTokensPerMillisecond: z.number().positive().default(20),
  /** Prompt tokens that the prefix cache holds. */
  prefixCacheTokens: z.number().int().min(0).default(20_000),
  /** Time to load a version whose chunks are all there. */
  loadMilliseconds: z.number().min(0).default(200),
  /** Age of the load that the engine reports. */
  loadReportLag: z.number().min(0).default(300),
  /** Delay of cache events, and the share of them that is lost. */
  cacheEventLag: z.number().min(0).default(500),
  cacheEventLoss: z.number().min(0).max(1).default(0.05),
});

/** Settings of `thistleway emulate service`. */
export const serviceEmulatorSettings = z.strictObject({
  listen: address,
  /** Time that a call takes. */
  callMilliseconds: z.number().min(0).default(10),
});

export type EntrySettings = z.output<typeof entrySettings>;
export type AgentSettings = z.output<typeof agentSettings>;
export type PlatformEmulatorSettings = z.output<typeof platformEmulatorSettings>;
export type EngineEmulatorSettings = z.output<typeof engineEmulatorSettings>;
export type ServiceEmulatorSettings = z.output<typeof serviceEmulatorSettings>;

/** What the placement simulation replays: deployments with their kinds of streams, and how their load goes over time. */
import type { EnginePace } from './simulated-engine.js';

/** A kind of streams. */
export interface StreamKind {
  name: string;
  /** Rank of its priority, 0 for the most urgent. */
  rank: number;
  /** Requests a second at a load of 1. */
  rate: number;
  /** Mean tokens of the prompt. */
  promptTokens: number;
  /** Mean events of the answer. */
  answerEvents: number;
  /** Latency objective, in milliseconds. */
  objective: number;
  worth: number;
  worthLate: number;
}

/** Machines, callers and streams of a deployment. */
export interface PlacementSite {
  kinds: readonly StreamKind[];
  zones: number;
  entries: number;
  engines: number;
  pace: EnginePace;
  /** Number of tenants; their shares of the requests follow Zipf's law with `TENANT_SKEW`. */
  tenants: number;
  /** Shortest and longest time that a caller gives its first request, in milliseconds; the timeout of the routes is `TIMEOUT`. */
  callerTime: readonly [shortest: number, longest: number];
  /** Time without an event after which a caller leaves, in milliseconds. */
  patience: number;
  /** Whether a larger request is worth more than a smaller one of its kind. */
  isWorthBySize: boolean;
}

/** Timeout of all routes, in milliseconds. */
export const TIMEOUT = 6_000;
/** Exponent of the shares of tenants. */
export const TENANT_SKEW = 1.2;

/** Three kinds of different ranks at engines that do less than is asked at a load of 1. */
const THREE_RANKS: PlacementSite = {
  kinds: [
    {
      name: 'quote',
      rank: 0,
      rate: 157,
      promptTokens: 1_330,
      answerEvents: 18,
      objective: 403,
      worth: 3.6,
      worthLate: 0.36,
    },
    {
      name: 'reading',
      rank: 1,
      rate: 190,
      promptTokens: 827,
      answerEvents: 18,
      objective: 402,
      worth: 1.7,
      worthLate: 0.42,
    },
    {
      name: 'digest',
      rank: 2,
      rate: 122,
      promptTokens: 647,
      answerEvents: 10,
      objective: 802,
      worth: 0.55,
      worthLate: 0.2,
    },
  ],
  zones: 3,
  entries: 33,
  engines: 36,
  pace: {
    slots: 12,
    queue: 16,
    step: 7.4,
    stepPerRequest: 0.043,
    tokensReadPerMillisecond: 31.9,
    tokensReadPerPass: 2_048,
    tokensPerEvent: 7,
  },
  tenants: 24,
  callerTime: [5_100, 6_000],
  patience: 3_200,
  isWorthBySize: true,
};

/** Fewer machines, and kinds that are worth nearly the same. */
const UNEVEN: PlacementSite = {
  ...THREE_RANKS,
  kinds: [
    {
      name: 'summary',
      rank: 0,
      rate: 136,
      promptTokens: 1_330,
      answerEvents: 18,
      objective: 402,
      worth: 2.4,
      worthLate: 0.6,
    },
    {
      name: 'draft',
      rank: 1,
      rate: 95.5,
      promptTokens: 827,
      answerEvents: 18,
      objective: 402,
      worth: 2.1,
      worthLate: 0.53,
    },
    {
      name: 'question',
      rank: 2,
      rate: 106,
      promptTokens: 647,
      answerEvents: 10,
      objective: 402,
      worth: 1.4,
      worthLate: 0.34,
    },
  ],
  entries: 18,
  engines: 24,
};

/** Hundreds of machines and kinds of one rank; engines are added when their weights are there. */
const HUNDREDS: PlacementSite = {
  kinds: [
    {
      name: 'chat',
      rank: 0,
      rate: 293,
      promptTokens: 1_330,
      answerEvents: 14.6,
      objective: 500,
      worth: 2.2,
      worthLate: 0.56,
    },
    {
      name: 'draft',
      rank: 0,
      rate: 203,
      promptTokens: 827,
      answerEvents: 14.6,
      objective: 500,
      worth: 2,
      worthLate: 0.5,
    },
    {
      name: 'search',
      rank: 0,
      rate: 172,
      promptTokens: 647,
      answerEvents: 11.6,
      objective: 400,
      worth: 1.6,
      worthLate: 0.4,
    },
  ],
  zones: 5,
  entries: 100,
  engines: 84,
  pace: {
    slots: 8,
    queue: 16,
    step: 11.1,
    stepPerRequest: 0.058,
    tokensReadPerMillisecond: 21.3,
    tokensReadPerPass: 2_048,
    tokensPerEvent: 6,
  },
  tenants: 24,
  callerTime: [TIMEOUT, TIMEOUT],
  patience: 2_400,
  isWorthBySize: false,
};

export const PLACEMENT_SITES = { hundreds: HUNDREDS, threeRanks: THREE_RANKS, uneven: UNEVEN } as const;
export type PlacementSiteName = keyof typeof PLACEMENT_SITES;

/** Engines that are slower for a while, in milliseconds. */
export interface SlowEngines {
  /** Share of the engines. */
  share: number;
  /** How many times as long their passes take. */
  slowness: number;
  from: number;
  to: number;
  /** Set if each is slow only for `length` of each `every`. */
  pulse?: { every: number; length: number };
}

/** How the load goes over time; times in milliseconds. */
export interface LoadShape {
  /** Load from each of these times on, as a share of the load that is simulated, the latest first. */
  steps: ReadonlyArray<readonly [from: number, share: number]>;
  arrivalsEnd: number;
  end: number;
  /** Requests that arrive earlier are not counted. */
  countedFrom: number;
  /** Engines that are slower for a while: share of the engines, and how many times as long their passes take. */
  slowEngines?: SlowEngines;
  /** A tenant that asks more than its share: its number, how many times its share, and since when. */
  largeTenant?: { tenant: number; times: number; from: number };
}

const STEP: LoadShape = {
  steps: [
    [4_000, 1],
    [0, 0.4],
  ],
  arrivalsEnd: 19_000,
  end: 25_000,
  countedFrom: 4_000,
};

/** Interval and length of short bursts, in milliseconds. */
const BURST_EVERY = 1_500;
const BURST_LENGTH = 250;

export const LOAD_SHAPES = {
  /** A morning peak. */
  peak: {
    steps: [
      [9_000, 1],
      [7_500, 0.85],
      [6_000, 0.7],
      [0, 0.55],
    ],
    arrivalsEnd: 27_000,
    end: 30_000,
    countedFrom: 0,
  },
  /** Bursts of 250 ms while most slots are free, at engines that are slow now and then. */
  unevenBursts: {
    steps: [
      ...Array.from({ length: 8 }, (_, burst) => BURST_EVERY * (8 - burst)).flatMap(
        (from) =>
          [
            [from + BURST_LENGTH, 0.1],
            [from, 1],
          ] as const,
      ),
      [0, 0.1],
    ],
    arrivalsEnd: 14_000,
    end: 20_000,
    countedFrom: 1_000,
    slowEngines: { share: 1, slowness: 2.5, from: 0, to: 14_000, pulse: { every: 3_000, length: 600 } },
  },
  /** All load comes at once where all slots are free, at engines that are slow now and then. */
  unevenStart: {
    steps: [
      [1_000, 1],
      [0, 0],
    ],
    arrivalsEnd: 5_000,
    end: 11_000,
    countedFrom: 0,
    slowEngines: { share: 1, slowness: 2.5, from: 0, to: 9_000, pulse: { every: 3_000, length: 600 } },
  },
  /** A load that lasts for 15 s. */
  step: STEP,
  /** A load that lasts for 3 s, between 0.4 of it. */
  burst: {
    steps: [
      [7_000, 0.4],
      [4_000, 1],
      [0, 0.4],
    ],
    arrivalsEnd: 11_000,
    end: 17_000,
    countedFrom: 4_000,
  },
  /** All callers of 3 s at once, as after an outage. */
  herd: {
    steps: [
      [4_400, 0.08],
      [4_000, 1],
      [0, 0.05],
    ],
    arrivalsEnd: 10_000,
    end: 16_000,
    countedFrom: 4_000,
  },
  largeTenant: { ...STEP, largeTenant: { tenant: 5, times: 10, from: 4_000 } },
  slowEngines: { ...STEP, slowEngines: { share: 0.3, slowness: 2.5, from: 7_000, to: 13_000 } },
} satisfies Record<string, LoadShape>;
export type LoadShapeName = keyof typeof LOAD_SHAPES;

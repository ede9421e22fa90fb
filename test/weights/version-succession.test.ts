/** Versions named in close succession while the origin of weights is away, replayed in virtual time. */
import { describe, expect, it, vi } from 'vitest';
import {
  EXPIRY_LEAD,
  LOAD_TIME,
  type ReplayInit,
  type ReplayOutcome,
  SAMPLE,
  VersionReplay,
} from './version-replay.js';
import { VirtualTime } from './virtual-time.js';

const current = vi.hoisted(() => ({ replay: undefined as VersionReplay | undefined }));
vi.mock('../../src/clients/http.js', async (original) => ({
  ...(await original<typeof import('../../src/clients/http.js')>()),
  callHttp: (...call: Parameters<VersionReplay['call']>) => current.replay!.call(...call),
}));

/** The origin needs 2.8 s for a copy, an agent's link 3.2 s; the origin is away after nine tenths of the first copy. */
const DEPLOYMENT: ReplayInit = {
  seed: 1,
  zones: 3,
  entriesPerZone: 4,
  agentsPerZone: 6,
  pieces: 64,
  pieceBytes: 32_768,
  rates: { origin: 5.94, entry: 40, agent: 5.32, zones: 18.9 },
  bound: 10_300,
  namedAt: [0, 3_000],
  drainTime: 1_000,
  ends: 16_000,
  originAway: { from: 2_500, until: 9_100 },
};

async function replay(changes: Partial<ReplayInit> = {}): Promise<ReplayOutcome> {
  const time = new VirtualTime();
  try {
    current.replay = new VersionReplay({ ...DEPLOYMENT, ...changes });
    return await current.replay.run(time);
  } finally {
    time.restore();
  }
}

/**
 * Time between what the links allow and what processes can do: to notice that the origin is back, for two announcements
 * and for the poll of an engine.
 */
const REACTION_TIME = 400;
/** Time in which entries notice that the one that draws has gone silent. */
const TAKEOVER_TIME = 600;

/** When an engine can have loaded version 2 at best, in milliseconds: the origin's pieces, one piece on an agent's link. */
function earliestLoad(init: ReplayInit): number {
  const { pieces, pieceBytes, rates, originAway, drainTime, killedAt, spoilt = 0 } = init;
  const pieceTime = (megabits: number) => (pieceBytes * 8) / (megabits * 1_000);
  const drawnFor = originAway!.from - (killedAt === undefined ? 0 : TAKEOVER_TIME);
  const drawn = Math.floor((drawnFor * (1 - spoilt)) / pieceTime(rates.origin));
  const isWholeAt = originAway!.until + (pieces - drawn) * pieceTime(rates.origin);
  return isWholeAt + pieceTime(rates.agent) + drainTime + LOAD_TIME;
}

/** The longest time in which fewer than `engines` could start a request, in milliseconds. */
function longestGap({ serving }: ReplayOutcome, engines: number): number {
  let longest = 0;
  let length = 0;
  for (const count of serving) {
    length = count < engines ? length + 1 : 0;
    longest = Math.max(longest, length);
  }
  return longest * SAMPLE;
}

const SEEDS = [1, 2, 3];
const FAULTS: Array<[name: string, changes: Partial<ReplayInit>]> = [
  ['nothing else', {}],
  ['entries restarted in turn', { restarts: { from: 4_800, interval: 1_170, count: 6 } }],
  ['the drawing entry killed in the middle', { killedAt: 1_200 }],
  ['spoilt pieces', { spoilt: 0.04 }],
  ['rotten stages', { rot: { at: 9_700, share: 0.3, every: 16 } }],
];

describe('two versions named 3 s apart with the origin away from 2.5 s on', () => {
  describe.each(FAULTS)('and %s', (_name, changes) => {
    it.each(SEEDS)('leave engines that serve, but for the time of one load: seed %i', async (seed) => {
      const init = { ...DEPLOYMENT, ...changes, seed };
      const outcome = await replay(init);
      const lastSentAt = init.namedAt[0] + init.bound - EXPIRY_LEAD;
      const unavoidable = Math.max(0, earliestLoad(init) - lastSentAt);
      expect(longestGap(outcome, 1)).toBeLessThanOrEqual(unavoidable + REACTION_TIME);
    });
  });

  it.each(SEEDS)('leave engines that serve sooner than one could drain and load: seed %i', async (seed) => {
    const outcome = await replay({ ...DEPLOYMENT, seed });
    // By then the first has been loaded. The second is whole shortly before the first expires.
    const afterFirst = outcome.serving.slice(12_000 / SAMPLE);
    expect(longestGap({ ...outcome, serving: afterFirst }, 1)).toBeLessThan(DEPLOYMENT.drainTime + LOAD_TIME);
  });
});

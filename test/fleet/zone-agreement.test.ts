/** Guards against entries of a zone whose lists differ for good, whichever of them reads the store and knows a change before. */
import { expect, it } from 'vitest';
import { type Random, seededRandom } from '../../src/model/random.js';
import { advance, type Cut, ReadingZone, simulateClock } from './reading-zone.js';

const BACK_ENDS = 8;
const STEPS = 60;
/** Longest time between two steps, in milliseconds. */
const STEP = 600;
/** Longest time for which an entry loses the store or its messages are late, in milliseconds. */
const CUT = 1_500;
const LATENESS = 700;
/** Time in which all entries know the latest change, held removals and takeovers included, in milliseconds. */
const SETTLE_TIME = 8_000;

let zone: ReadingZone;
let random: Random;
let joined: number;
const serving = new Set<string>();
const leaving = new Set<string>();

simulateClock(() => zone.stop());

const pick = <T>(from: Iterable<T>): T => {
  const all = [...from];
  return all[random.below(all.length)];
};

function join(): void {
  const id = `joined-${joined++}`;
  zone.join(id);
  serving.add(id);
}

/** The back end states in an answer to one entry that it is leaving, before or after its record says so. */
function leave(): void {
  if (serving.size < 2) return join();
  const id = pick(serving);
  serving.delete(id);
  leaving.add(id);
  const { fleet } = pick(zone.entries);
  const state = () => fleet.applyLeaving({ id });
  const isStatedFirst = random.fraction() < 0.5;
  if (isStatedFirst) state();
  zone.announceLeaving(id);
  if (!isStatedFirst) setTimeout(state, random.below(20));
}

function remove(): void {
  const from = leaving.size > 0 ? leaving : serving;
  const id = pick(from);
  if (id === undefined) return;
  from.delete(id);
  zone.leave(id);
}

function disturb(): void {
  const place = random.below(zone.entries.length);
  if (random.fraction() < 0.6) {
    void zone.cut(place, pick<Cut>(['reset', 'silent']), random.below(CUT));
    return;
  }
  zone.delayMessages(place, random.below(LATENESS));
  setTimeout(() => zone.delayMessages(place, 0), random.below(CUT));
}

it.each(
  Array.from({ length: 12 }, (_, index) => ({
    seed: index + 1,
    entries: 2 + (index % 3),
    heartbeatsChange: index % 2 === 0,
    latestOnly: index % 4 < 2,
  })),
)(
  'all entries of a zone list what the store lists (seed $seed, $entries entries, heartbeats that are changes: $heartbeatsChange, latest only: $latestOnly)',
  async ({ seed, entries, heartbeatsChange, latestOnly }) => {
    random = seededRandom(seed);
    joined = 0;
    serving.clear();
    leaving.clear();
    zone = new ReadingZone(seed, entries, heartbeatsChange, latestOnly);
    const started = zone.start(BACK_ENDS);
    await advance(3_000);
    await started;
    for (let index = 0; index < BACK_ENDS; index++) serving.add(`back-end-${index}`);
    for (let step = 0; step < STEPS; step++) {
      pick([join, leave, leave, remove, disturb])();
      await advance(random.below(STEP));
    }
    await advance(SETTLE_TIME);
    const expected = [...serving]
      .map((id) => `${id} serves`)
      .concat([...leaving].map((id) => `${id} leaves`));
    for (const { id, fleet } of zone.entries) {
      const listed = [...fleet.backEnds.records.values()].map(
        (record) => `${record.id} ${record.leaving ? 'leaves' : 'serves'}`,
      );
      expect(listed.sort(), id).toEqual(expected.sort());
    }
  },
);

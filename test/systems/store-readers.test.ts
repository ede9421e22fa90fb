/** Which entries of a zone read the store, as each of them sees it. */
import { describe, expect, it } from 'vitest';
import { rendezvousOrder } from '../../src/model/random.js';
import { StoreReaders } from '../../src/systems/store-readers.js';

const ZONE = 'zone-a';
const ENTRIES = ['one', 'two', 'three', 'four', 'five'];
/** The order in which they read. */
const [FIRST, SECOND, THIRD, ...REST] = rendezvousOrder(ZONE, ENTRIES);
/** Shorter and longer than a zone is without news before the second reads, in milliseconds. */
const SHORT = 1_200;
const LONG = 1_400;
/** No entry is without news for longer, in milliseconds: configurations are to be in force within 2 s and more. */
const LONGEST = 2_000;

function readersAt(
  now: number,
  news: ReadonlyArray<readonly [entry: string, at: number]>,
  living = ENTRIES,
): string[] {
  return living.filter((self) => {
    const readers = new StoreReaders(ZONE);
    for (const [entry, at] of news) if (entry !== self) readers.noteNews(entry, at);
    return readers.isReader(
      self,
      living.filter((entry) => entry !== self),
      now,
    );
  });
}

describe('the readers of a zone', () => {
  it('are all of its entries until they hear of one another', () => {
    expect(readersAt(0, [])).toEqual(ENTRIES);
  });

  it('are one while it passes on news', () => {
    expect(readersAt(SHORT, [[FIRST, 0]])).toEqual([FIRST]);
  });

  it('are the next where nothing comes from it, and then that one alone passes on news', () => {
    expect(readersAt(LONG, [[FIRST, 0]]).sort()).toEqual([FIRST, SECOND].sort());
    const takenOver = readersAt(LONGEST + SHORT, [
      [FIRST, 0],
      [SECOND, LONG],
      [SECOND, LONGEST],
    ]);
    expect(takenOver.sort()).toEqual([FIRST, SECOND].sort());
  });

  it('are the next in turn where two fall silent, and all of them before any bound has passed', () => {
    const living = [THIRD, ...REST];
    expect(readersAt(SHORT, [[FIRST, 0]], [FIRST, SECOND, THIRD])).toEqual([FIRST]);
    expect(readersAt(LONG, [[SECOND, 0]], living)).toContain(THIRD);
    expect(readersAt(LONGEST + 1, [[FIRST, 0]])).toEqual(ENTRIES);
  });

  it('are without the one that does not live any more', () => {
    expect(readersAt(SHORT, [[SECOND, 0]], [SECOND, THIRD, ...REST])).toEqual([SECOND]);
  });

  it('do not go by the news of one that comes after them', () => {
    const readers = new StoreReaders(ZONE);
    readers.noteNews(SECOND, 0);
    expect(readers.isReader(FIRST, [SECOND, THIRD], 10)).toBe(true);
  });
});

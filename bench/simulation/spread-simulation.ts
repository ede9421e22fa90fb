/**
 * A version that spreads over the entries of a zone, in virtual time: one has it, the others want it, and each has a link of
 * its own that its batches share evenly. Whom they ask follows the code of the entries. Times are in milliseconds.
 */
import { seededRandom } from '../../src/model/random.js';
import { parentOf } from '../../src/systems/copy-spread.js';
import { UploadLimit } from '../../src/systems/upload-limit.js';

/** Holders refuse what their links cannot carry soon, or serve whoever asks. */
export type SpreadPolicy = 'limited' | 'unlimited';

/** The load. */
export interface SpreadInit {
  policy: SpreadPolicy;
  seed: number;
  entries: number;
  pieces: number;
  pieceBytes: number;
  /** Pieces of one batch. */
  batch: number;
  /** Bytes that one link carries in a millisecond. */
  linkRate: number;
  /** Time after which all ends, whoever has a copy by then. */
  ends: number;
}

/** What came of it. */
export interface SpreadOutcome {
  /** Time until all entries have a copy; undefined where they have not by the end. */
  wholeAt: number | undefined;
  /** Batches that were given up on their way. */
  givenUp: number;
}

const STEP = 5;
/** As in the collection of versions and in the fetcher. */
const BATCH_LIMIT = 2_000;
const NEAR_PATIENCE = 300;
const PARALLEL = 2;
const OVERDUE = 800;
const FIRST_REST = 150;
const LONGEST_REST = 500;

interface Transfer {
  to: Receiver;
  from: number;
  batch: number[];
  bytesLeft: number;
  startedAt: number;
}

interface Receiver {
  place: number;
  have: Set<number>;
  asked: Map<number, number>;
  progressAt: number;
  rests: Map<number, { until: number; failures: number }>;
}

/** Plays it. */
export function simulateSpread(init: SpreadInit): SpreadOutcome {
  const { policy, entries, pieces, pieceBytes, batch, linkRate, ends } = init;
  const random = seededRandom(init.seed);
  const limits = Array.from({ length: entries }, () => new UploadLimit());
  const all = Array.from({ length: pieces }, (_, index) => index);
  const receivers: Receiver[] = Array.from({ length: entries }, (_, place) => ({
    place,
    have: new Set(place === 0 ? all : []),
    asked: new Map(),
    progressAt: 0,
    rests: new Map(),
  }));
  const offsets = receivers.map(() => random.below(pieces));
  let transfers: Transfer[] = [];
  let givenUp = 0;

  const rest = (receiver: Receiver, from: number, now: number) => {
    const { failures } = receiver.rests.get(from) ?? { failures: 0 };
    const pause = Math.min(LONGEST_REST, FIRST_REST * 2 ** failures) * (0.5 + random.fraction() / 2);
    receiver.rests.set(from, { until: now + pause, failures: failures + 1 });
  };

  const ask = (receiver: Receiver, now: number) => {
    const parent = parentOf(receiver.place);
    for (const { place, have } of receivers) {
      const patience = place === parent ? 0 : NEAR_PATIENCE;
      if (place === receiver.place || now - receiver.progressAt < patience) continue;
      const open = () => transfers.filter(({ to, from }) => to === receiver && from === place).length;
      while (open() < PARALLEL && now >= (receiver.rests.get(place)?.until ?? 0)) {
        const wanted = all
          .map((index) => (index + offsets[receiver.place]) % pieces)
          .filter((index) => !receiver.have.has(index) && have.has(index))
          .filter((index) => now - (receiver.asked.get(index) ?? -OVERDUE) >= OVERDUE)
          .slice(0, batch);
        if (wanted.length === 0) break;
        const bytes = wanted.length * pieceBytes;
        if (policy === 'limited' && !limits[place].begin(wanted.length, bytes)) {
          rest(receiver, place, now);
          break;
        }
        for (const index of wanted) receiver.asked.set(index, now);
        transfers.push({ to: receiver, from: place, batch: wanted, bytesLeft: bytes, startedAt: now });
      }
    }
  };

  const end = (transfer: Transfer, now: number) => {
    const { to, from, batch: sent, startedAt } = transfer;
    limits[from].end(sent.length, sent.length * pieceBytes);
    for (const index of sent) to.asked.delete(index);
    if (now - startedAt >= BATCH_LIMIT) {
      givenUp++;
      return rest(to, from, now);
    }
    for (const index of sent) to.have.add(index);
    to.progressAt = now;
    to.rests.delete(from);
  };

  for (let now = 0; now < ends; now += STEP) {
    if (receivers.every(({ have }) => have.size === pieces)) return { wholeAt: now, givenUp };
    for (const receiver of receivers) if (receiver.have.size < pieces) ask(receiver, now);
    const uploads = new Map<number, number>();
    for (const { from } of transfers) uploads.set(from, (uploads.get(from) ?? 0) + 1);
    for (const transfer of transfers) transfer.bytesLeft -= (linkRate * STEP) / uploads.get(transfer.from)!;
    const isOver = ({ bytesLeft, startedAt }: Transfer) => bytesLeft <= 0 || now - startedAt >= BATCH_LIMIT;
    const over = transfers.filter(isOver);
    transfers = transfers.filter((transfer) => !isOver(transfer));
    for (const transfer of over) end(transfer, now);
  }
  return { wholeAt: undefined, givenUp };
}

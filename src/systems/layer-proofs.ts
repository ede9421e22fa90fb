/**
 * Decides which layers an engine is ordered to hold next, until it holds all layers of a version and each is proven.
 *
 * An engine loads only the layers that it does not hold yet. To load a layer anew, it is first ordered to hold a range without
 * that layer, which gives it up, and then all layers.
 */

/** Consecutive layers, `end` exclusive. */
export interface LayerRange {
  from: number;
  end: number;
}

/** What to order next. */
export type NextRange =
  | { type: 'hold'; range: LayerRange }
  /** No layer that the engine has to load is ready. */
  | { type: 'wait' }
  /** No order makes the engine load anew what it holds. */
  | { type: 'impossible' };

const NONE: LayerRange = { from: 0, end: 0 };

/** The layers of one version that an engine holds, and which of them are proven. */
export class LayerProofs {
  readonly #count: number;
  #held: LayerRange = NONE;
  #proven = new Set<number>();

  /** @param count - number of layers of the model; 0 if it is not known, and then no layer can be loaded by itself */
  constructor(count: number) {
    this.#count = Math.max(1, count);
  }

  /** Number of layers, at least 1. */
  get count(): number {
    return this.#count;
  }

  /** Whether the engine holds all layers and each is proven. */
  get isComplete(): boolean {
    return this.#isWhole && this.#proven.size === this.#count;
  }

  /** All layers of the model. */
  get all(): number[] {
    return layersIn({ from: 0, end: this.#count });
  }

  get #isWhole(): boolean {
    return this.#held.from === 0 && this.#held.end === this.#count;
  }

  /** The engine holds `range`, of which the layers `inDoubt` are not proven. */
  noteHeld(range: LayerRange, inDoubt: ReadonlySet<number>): void {
    this.#held = { from: range.from, end: Math.min(range.end, this.#count) };
    this.#proven = new Set(layersIn(this.#held).filter((layer) => !inDoubt.has(layer)));
  }

  /** Layers that an order to hold `range` makes the engine load. */
  loadedBy(range: LayerRange): number[] {
    return layersIn(range).filter((layer) => layer < this.#held.from || layer >= this.#held.end);
  }

  /** The engine has carried out an order to hold `range`; of the layers that it loaded, `unproven` are not proven. */
  noteOrdered(range: LayerRange, unproven: ReadonlySet<number>): void {
    const loaded = new Set(this.loadedBy(range));
    const isUnproven = (layer: number) => (loaded.has(layer) ? unproven : this.inDoubt).has(layer);
    this.noteHeld(range, new Set(layersIn(range).filter(isUnproven)));
  }

  /** The layers that the engine holds and that are not proven. */
  get inDoubt(): ReadonlySet<number> {
    return new Set(layersIn(this.#held).filter((layer) => !this.#proven.has(layer)));
  }

  /** The layers that the engine has to load until it holds all. */
  get missing(): number[] {
    return this.loadedBy({ from: 0, end: this.#count });
  }

  /**
   * The layers that the engine is ordered to hold next, of which it loads only those that are ready. Meaningless once
   * {@link isComplete}.
   */
  next(isReady: (layer: number) => boolean): NextRange {
    const kept = longestRun(this.#held, (layer) => this.#proven.has(layer));
    const isAllProven = kept.from === this.#held.from && kept.end === this.#held.end;
    if (isAllProven) return this.#extend(kept, isReady);
    if (kept.end > kept.from) return { type: 'hold', range: kept };
    // Nothing that is held is worth keeping: a range beside it replaces it.
    if (this.#count === 1) return { type: 'impossible' };
    if (this.#isWhole)
      return { type: 'hold', range: { from: Math.floor(this.#count / 2), end: this.#count } };
    return this.#extend(NONE, (layer) => isReady(layer) && this.#isMissing(layer));
  }

  #isMissing(layer: number): boolean {
    return layer < this.#held.from || layer >= this.#held.end;
  }

  #extend(kept: LayerRange, isReady: (layer: number) => boolean): NextRange {
    const all = { from: 0, end: this.#count };
    const isUsable = (layer: number) => (layer >= kept.from && layer < kept.end) || isReady(layer);
    const range = kept.end > kept.from ? runAround(kept, all, isUsable) : longestRun(all, isUsable);
    const isLonger = range.end - range.from > kept.end - kept.from;
    return isLonger ? { type: 'hold', range } : { type: 'wait' };
  }
}

/** The longest run of layers within `range` that fulfil `isUsable`. */
function longestRun(range: LayerRange, isUsable: (layer: number) => boolean): LayerRange {
  let longest = NONE;
  let { from } = range;
  for (let layer = from; layer < range.end; layer++) {
    if (!isUsable(layer)) from = layer + 1;
    else if (layer + 1 - from > longest.end - longest.from) longest = { from, end: layer + 1 };
  }
  return longest;
}

/** The run of layers around `kept` and within `all` that fulfil `isUsable`. */
function runAround(kept: LayerRange, all: LayerRange, isUsable: (layer: number) => boolean): LayerRange {
  let { from, end } = kept;
  while (from > all.from && isUsable(from - 1)) from--;
  while (end < all.end && isUsable(end)) end++;
  return { from, end };
}

/** The layers of which a piece holds a part, if `count` layers are cut into `pieces` pieces of equal size. */
export function layersOfPiece(piece: number, pieces: number, count: number): number[] {
  const from = Math.floor((piece * count) / pieces);
  const end = Math.ceil(((piece + 1) * count) / pieces);
  return layersIn({ from, end });
}

function layersIn({ from, end }: LayerRange): number[] {
  return Array.from({ length: Math.max(0, end - from) }, (_, place) => from + place);
}

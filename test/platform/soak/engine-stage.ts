/** The stage of a stand-in engine, and the checks of the pieces that the engine loads from it. */
import { LAYERS, PIECES, pieceOf } from './workers.js';

interface StagedPiece {
  /** As it was written. */
  written: Buffer;
  /** When the engine carried the write out, if that was late and its sender may have given it up. */
  lateAt: number | undefined;
  /** Since when it has been corrupt, in milliseconds of the monotonic clock; undefined if it is intact. */
  corruptSince: number | undefined;
}

/** A piece that is not as its version wants it. */
export interface PieceFault {
  piece: number;
  /** `other` if other bytes than those of the version were written. */
  kind: 'missing' | 'other' | 'corrupt';
  /** For how long it has been corrupt, in milliseconds; infinite for the other kinds. */
  age: number;
  /** For how long it has been so, in milliseconds, if it was written late and its sender could not call the write back. */
  lateFor?: number | undefined;
}

/** What an engine loaded at one time. */
export interface EngineLoad {
  worker: string;
  version: number;
  /** When the pieces were read from the stage, in milliseconds of the monotonic clock. */
  at: number;
  /** Time from the arrival of the order to its acceptance, in milliseconds. */
  orderDelay: number;
  /** Faults of the pieces of each layer that was loaded. */
  faults: ReadonlyMap<number, readonly PieceFault[]>;
}

/** A layer that an engine holds. */
export interface LoadedLayer {
  layer: number;
  load: EngineLoad;
}

/** An order that an engine accepted. */
export interface AcceptedOrder {
  worker: string;
  version: number;
  at: number;
  /** Whether the engine stood still when the order arrived, or held it back. */
  isHeldBack: boolean;
  /** Faults of the pieces of the layers to be loaded, at the time of acceptance. */
  faults: readonly PieceFault[];
}

/** Pieces that contain a part of a layer. */
export function piecesOfLayer(layer: number): number[] {
  const first = Math.floor((layer * PIECES) / LAYERS);
  const end = Math.ceil(((layer + 1) * PIECES) / LAYERS);
  return Array.from({ length: end - first }, (_, place) => first + place);
}

/** Pieces in the memory of an engine's machine, which outlast a crash of the engine. */
export class StandInStage {
  readonly #pieces = new Map<number, StagedPiece>();

  /** @param version - the version that is staged at first; 0 for none */
  constructor(version = 0) {
    if (version === 0) return;
    for (let index = 0; index < PIECES; index++) this.write(index, pieceOf(version, index));
  }

  /** @param lateAt - the time, if the write is carried out late */
  write(index: number, bytes: Buffer, lateAt?: number): void {
    this.#pieces.set(index, { written: bytes, lateAt, corruptSince: undefined });
  }

  read(index: number): Buffer | undefined {
    const piece = this.#pieces.get(index);
    if (piece?.corruptSince === undefined) return piece?.written;
    const bytes = Buffer.from(piece.written);
    bytes[0] ^= 1;
    return bytes;
  }

  /** Corrupts a piece; does nothing if it is not staged, or corrupt already. */
  corrupt(index: number, now: number): void {
    const piece = this.#pieces.get(index);
    if (piece !== undefined) piece.corruptSince ??= now;
  }

  /** Whether it has pieces of another version than this. */
  hasOther(version: number): boolean {
    return [...this.#pieces].some(([index, { written }]) => !written.equals(pieceOf(version, index)));
  }

  /** Faults of the pieces that a layer of a version needs. */
  faultsOf(version: number, layer: number, now: number): PieceFault[] {
    return piecesOfLayer(layer).flatMap((piece): PieceFault[] => {
      const staged = this.#pieces.get(piece);
      if (staged === undefined) return [{ piece, kind: 'missing', age: Number.POSITIVE_INFINITY }];
      const { written, lateAt, corruptSince } = staged;
      if (!written.equals(pieceOf(version, piece))) {
        const lateFor = lateAt === undefined ? undefined : now - lateAt;
        return [{ piece, kind: 'other', age: Number.POSITIVE_INFINITY, lateFor }];
      }
      return corruptSince === undefined ? [] : [{ piece, kind: 'corrupt', age: now - corruptSince }];
    });
  }
}

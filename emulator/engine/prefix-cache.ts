/** The prompt prefixes that the stand-in engine remembers, in blocks, the least recently used ones dropped. */
import { digestOf } from '../../src/model/manifest.js';

/** Tokens in one block. */
export const BLOCK_TOKENS = 16;

/** A change of the cache, as told to whoever asks. */
export interface CacheEvent {
  sequence: number;
  /** When it happened, in milliseconds of the process's clock. */
  at: number;
  type: 'stored' | 'removed';
  block: string;
}

/** A cache of blocks; a block's name covers all tokens before it. */
export class PrefixCache {
  readonly events: CacheEvent[] = [];
  readonly #blocks = new Map<string, true>();
  readonly #capacity: number;
  #sequence = 0;

  constructor(capacityTokens: number) {
    this.#capacity = Math.floor(capacityTokens / BLOCK_TOKENS);
  }

  /** Takes a prompt in; returns how many of its tokens were there already. */
  use(tokens: readonly string[]): number {
    let cached = 0;
    let hit = true;
    let name = '';
    for (let start = 0; start + BLOCK_TOKENS <= tokens.length; start += BLOCK_TOKENS) {
      name = digestOf(`${name}|${tokens.slice(start, start + BLOCK_TOKENS).join(' ')}`).slice(0, 16);
      hit = hit && this.#blocks.delete(name);
      if (hit) cached += BLOCK_TOKENS;
      else this.#note('stored', name);
      this.#blocks.set(name, true);
    }
    this.#dropOldest();
    return cached;
  }

  #dropOldest(): void {
    for (const name of this.#blocks.keys()) {
      if (this.#blocks.size <= this.#capacity) return;
      this.#blocks.delete(name);
      this.#note('removed', name);
    }
  }

  #note(type: CacheEvent['type'], block: string): void {
    this.events.push({ sequence: ++this.#sequence, at: performance.now(), type, block });
  }
}

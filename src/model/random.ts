/** Seeded random numbers, so that decisions can be reproduced from a seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A pseudo-random number generator. */
export interface Random {
  /** An integer in `0 .. bound - 1`. */
  below(bound: number): number;
  /** A number in `[0, 1)`. */
  fraction(): number;
}

/** Creates a generator from a 32-bit seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed | 0);
  const fraction = (): number => (generator.next() >>> 0) / 2 ** 32;
  return { fraction, below: (bound) => Math.floor(fraction() * bound) };
}

/** A 32-bit hash of `text` (FNV-1a), for seeds and rendezvous hashing; not for security. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Orders the candidates by the rendezvous (highest random weight) hash of `key`; the first one is the owner. */
export function rendezvousOrder(key: string, candidates: readonly string[]): string[] {
  const weight = new Map(candidates.map((candidate) => [candidate, hash32(`${key}|${candidate}`)]));
  return [...candidates].sort((a, b) => weight.get(b)! - weight.get(a)! || (a < b ? -1 : 1));
}

/** Shuffles `items` in place and returns them. */
export function shuffle<T>(items: T[], random: Random): T[] {
  for (let index = items.length - 1; index > 0; index--) {
    const other = random.below(index + 1);
    [items[index], items[other]] = [items[other], items[index]];
  }
  return items;
}

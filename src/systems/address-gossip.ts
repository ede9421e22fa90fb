/**
 * Whom an entry tells which addresses, so that entries that start together soon know all others. Few tell everyone; many
 * tell some by chance, or the start of 100 entries, each of which tells all addresses to all others, sends 2 kB 9,900 times
 * whenever they do.
 */
import type { Random } from '../model/random.js';
import { shuffle } from '../model/random.js';

/** Up to so many others are all told. */
const ALL_TOLD = 12;
/** Of more, so many are told of a new address: whoever hears of it tells as many, so that one in 3,000 is missed. */
const TOLD_OF_NEW = 8;
/** Of more, so many are told all addresses in turn: whom news have missed learns of it within some turns. */
const TOLD_IN_TURN = 2;

/** Those of `others` that are told of new addresses. */
export function toldOfNew<T>(others: readonly T[], random: Random): T[] {
  return some(others, TOLD_OF_NEW, random);
}

/** Those of `others` that are told all addresses now. */
export function toldInTurn<T>(others: readonly T[], random: Random): T[] {
  return some(others, TOLD_IN_TURN, random);
}

/** Whether an entry that was just heard, and knows of `itsCount` entries, is told all `ownCount` that are known here. */
export function lacksAddresses(itsCount: number, ownCount: number): boolean {
  return itsCount < ownCount;
}

function some<T>(others: readonly T[], count: number, random: Random): T[] {
  return others.length <= ALL_TOLD ? [...others] : shuffle([...others], random).slice(0, count);
}

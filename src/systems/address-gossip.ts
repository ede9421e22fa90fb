/**
 * Gossip of entry addresses, so that entries that start at the same time soon know each other. A small fleet broadcasts;
 * in a larger one each entry sends to a random sample. If each of 100 entries sent all addresses to all others, every
 * round would send 2 kB 9,900 times.
 */
import type { Random } from '../model/random.js';
import { shuffle } from '../model/random.js';

/** Number of other entries up to which messages are sent to all of them. */
const BROADCAST_LIMIT = 12;
/**
 * In larger fleets, number of entries that are sent a new address. Every receiver forwards it to as many others, so that
 * one entry in 3,000 is missed.
 */
const NEW_ADDRESS_FANOUT = 8;
/**
 * In larger fleets, number of entries that are sent all addresses in each round. An entry that missed a new address
 * learns it within a few rounds.
 */
const ALL_ADDRESSES_FANOUT = 2;

/** The entries of `others` to send new addresses to. */
export function recipientsOfNewAddress<T>(others: readonly T[], random: Random): T[] {
  return sampleRecipients(others, NEW_ADDRESS_FANOUT, random);
}

/** The entries of `others` to send all addresses to in this round. */
export function recipientsOfAllAddresses<T>(others: readonly T[], random: Random): T[] {
  return sampleRecipients(others, ALL_ADDRESSES_FANOUT, random);
}

/**
 * Whether to send all addresses to an entry from which a message was received.
 * @param itsCount - number of entries known to that entry
 * @param ownCount - number of entries known to this one
 */
export function lacksAddresses(itsCount: number, ownCount: number): boolean {
  return itsCount < ownCount;
}

function sampleRecipients<T>(others: readonly T[], count: number, random: Random): T[] {
  return others.length <= BROADCAST_LIMIT ? [...others] : shuffle([...others], random).slice(0, count);
}

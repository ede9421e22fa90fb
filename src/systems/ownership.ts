/**
 * Ownership of idempotency keys, for calls that must not be repeated. Each key has one owner among the machines of a
 * service, by rendezvous hash over the list of owners, which is stored in the table service with an epoch. A list is
 * replaced only once every owner has acknowledged that it accepts no more keys that move, or is proven dead. No decision
 * depends on a clock.
 */
import { rendezvousOrder } from '../model/random.js';

/** The owners of a service, as a row of the table service. */
export interface OwnersRow {
  /** Incremented each time a new list takes effect. */
  epoch: number;
  /** Addresses of the machines. */
  owners: string[];
  /** The next list, if one is pending. Current owners no longer accept keys whose owner it changes. */
  next: string[] | undefined;
}

/** A machine of the service as the deciding entry sees it. */
export interface OwnerCandidate {
  address: string;
  leaving: boolean;
  /** Epoch for which the machine has acknowledged the next list: it no longer accepts keys that move. */
  acknowledgedEpoch: number | undefined;
}

/** The machine that runs calls with this key. */
export function ownerOf(key: string, owners: readonly string[]): string | undefined {
  return rendezvousOrder(key, owners)[0];
}

/** Whether the key keeps its owner under the next list. */
export function keepsOwner(key: string, row: OwnersRow): boolean {
  return row.next === undefined || ownerOf(key, row.next) === ownerOf(key, row.owners);
}

/**
 * The row to write, or undefined if the current one needs no change.
 *
 * @param candidates - machines of the service that are connected
 * @param dead - addresses that the platform's list of machines has dropped; those of candidates do not count
 */
export function decideOwners(
  row: OwnersRow | undefined,
  candidates: readonly OwnerCandidate[],
  dead: ReadonlySet<string>,
): OwnersRow | undefined {
  const wanted = wantedOwners(row, candidates, dead);
  if (row === undefined)
    return wanted.length === 0 ? undefined : { epoch: 1, owners: wanted, next: undefined };
  if (row.next === undefined) {
    return sameList(wanted, row.owners) || wanted.length === 0 ? undefined : { ...row, next: wanted };
  }
  const acknowledged = new Map(candidates.map((machine) => [machine.address, machine.acknowledgedEpoch]));
  const isGone = (address: string) => dead.has(address) && !acknowledged.has(address);
  const settled = row.owners.every((address) => isGone(address) || acknowledged.get(address) === row.epoch);
  return settled ? { epoch: row.epoch + 1, owners: row.next, next: undefined } : undefined;
}

/** Owners that are not connected are kept, as only the platform's list of machines proves that one is gone. */
function wantedOwners(
  row: OwnersRow | undefined,
  candidates: readonly OwnerCandidate[],
  dead: ReadonlySet<string>,
): string[] {
  const serving = candidates.filter((machine) => !machine.leaving).map((machine) => machine.address);
  const connected = new Set(candidates.map((machine) => machine.address));
  const disconnected = (row?.owners ?? []).filter((address) => !connected.has(address) && !dead.has(address));
  return [...new Set([...serving, ...disconnected])].sort();
}

function sameList(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((address, index) => address === b[index]);
}

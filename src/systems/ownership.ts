/**
 * Who runs calls that may not be repeated. Each idempotency key has one owner among the machines of a service,
 * by rendezvous hash over the owners' list, which lies in the table service with an epoch. A list is replaced
 * only once every owner that loses keys has stopped taking them, or is proven dead; no clock decides.
 */
import { rendezvousOrder } from '../model/random.js';

/** The owners of a service, as a row of the table service. */
export interface OwnersRow {
  /** Grows with each list in force. */
  epoch: number;
  /** Addresses of the machines. */
  owners: string[];
  /** The list to come: owners in force take no keys any more whose owner it changes. */
  next: string[] | undefined;
}

/** A machine of the service as the deciding entry sees it. */
export interface OwnerCandidate {
  address: string;
  leaving: boolean;
  /** Epoch whose successor the machine has acknowledged: it takes no keys that move. */
  acknowledgedEpoch: number | undefined;
}

/** The machine that runs calls with this key. */
export function ownerOf(key: string, owners: readonly string[]): string | undefined {
  return rendezvousOrder(key, owners)[0];
}

/** True when the key stays where it is under the list to come. */
export function keepsOwner(key: string, row: OwnersRow): boolean {
  return row.next === undefined || ownerOf(key, row.next) === ownerOf(key, row.owners);
}

/**
 * The row that should be written, or undefined when the present one is right.
 *
 * @param candidates - machines of the service that are connected
 * @param dead - addresses that the platform's list of machines has dropped
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
  const settled = row.owners.every((address) => dead.has(address) || acknowledged.get(address) === row.epoch);
  return settled ? { epoch: row.epoch + 1, owners: row.next, next: undefined } : undefined;
}

/** Owners that are out of sight stay: only the platform's list of machines proves that one is gone. */
function wantedOwners(
  row: OwnersRow | undefined,
  candidates: readonly OwnerCandidate[],
  dead: ReadonlySet<string>,
): string[] {
  const serving = candidates.filter((machine) => !machine.leaving).map((machine) => machine.address);
  const connected = new Set(candidates.map((machine) => machine.address));
  const outOfSight = (row?.owners ?? []).filter((address) => !connected.has(address) && !dead.has(address));
  return [...new Set([...serving, ...outOfSight])].sort();
}

function sameList(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((address, index) => address === b[index]);
}

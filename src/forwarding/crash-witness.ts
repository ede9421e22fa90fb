/**
 * Tells the crash of a back end from connections that break while it lives: as the first one breaks, the back end is called
 * on a new connection. Its machine refuses that where the process has ended. One that accepts lives; one that says nothing is
 * cut off or without power, and none of its requests is to blame.
 */
import { connect as connectSocket } from 'node:net';
import type { BackEndIdentity } from '../fleet/back-end-identity.js';
import type { Log } from '../observability/log.js';
import type { BackEndCrash, Fingerprint } from '../systems/poison-requests.js';
import type { BackEndRow } from './back-end-table.js';

/** Time after which a call that nobody answers is given up, in milliseconds: chosen, above a packet that is lost and sent again. */
const CALL_LIMIT = 400;
/** Connections that break this long after the first one of a crash broke by it, in milliseconds: 15 were measured. */
const SAME_CRASH = 500;

/** What a back end's machine says to a new connection. */
export type ConnectionAnswer = 'refused' | 'accepted' | 'silent';

/** A request in progress at a back end. */
export interface CrashSuspect {
  row: BackEndRow;
  fingerprint: Fingerprint;
}

/** What the witness works with. */
export interface CrashWitnessOptions {
  /** Counts what the back ends' machines said to the calls. */
  calls: Record<ConnectionAnswer, number>;
  /** Takes a crash, and further suspects of it as they become known. */
  onCrash: (crash: BackEndCrash) => void;
  log: Log;
  /** Opens a connection to `host:port` and closes it again. */
  call?: (address: string) => Promise<ConnectionAnswer>;
}

interface BrokenConnections {
  row: BackEndRow;
  at: number;
  /** Undefined while the call is under way. */
  hasCrashed: boolean | undefined;
  suspects: Set<Fingerprint>;
}

/** Watches the connections of one entry break. */
export class CrashWitness {
  readonly #options: CrashWitnessOptions;
  readonly #broken = new Map<string, BrokenConnections>();

  constructor(options: CrashWitnessOptions) {
    this.#options = options;
  }

  /** The connection of a request in progress broke. */
  noteBroken({ row, fingerprint }: CrashSuspect): void {
    const now = performance.now();
    const known = this.#broken.get(keyOf(row.record));
    if (known === undefined || now - known.at > SAME_CRASH) return this.#begin(row, fingerprint, now);
    known.suspects.add(fingerprint);
    if (known.hasCrashed === true) this.#tell(known, [fingerprint]);
  }

  #begin(row: BackEndRow, fingerprint: Fingerprint, now: number): void {
    for (const [key, { at }] of this.#broken) if (now - at > SAME_CRASH) this.#broken.delete(key);
    const broken = { row, at: now, hasCrashed: undefined, suspects: new Set([fingerprint]) };
    this.#broken.set(keyOf(row.record), broken);
    void this.#ask(broken);
  }

  async #ask(broken: BrokenConnections): Promise<void> {
    const { call = callOnce, calls, log } = this.#options;
    const { row } = broken;
    const answer = await call(row.record.address);
    calls[answer]++;
    broken.hasCrashed = answer === 'refused';
    if (!broken.hasCrashed) {
      log.info('connection broke, back end not seen to crash', { backEnd: row.record.id, answer });
      return;
    }
    row.health.noteCrashed(performance.now());
    log.info('back end crashed', { backEnd: row.record.id, suspects: broken.suspects.size });
    this.#tell(broken, [...broken.suspects]);
  }

  #tell({ row, at }: BrokenConnections, suspects: Fingerprint[]): void {
    const { id: backEnd, start } = row.record;
    this.#options.onCrash({ backEnd, start, at, suspects });
  }
}

function keyOf({ id, start }: BackEndIdentity): string {
  return `${id} ${start ?? ''}`;
}

function callOnce(address: string): Promise<ConnectionAnswer> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connectSocket({ host, port: Number(port), timeout: CALL_LIMIT });
    const settle = (answer: ConnectionAnswer) => {
      socket.destroy();
      resolve(answer);
    };
    socket.once('connect', () => settle('accepted'));
    socket.once('timeout', () => settle('silent'));
    socket.once('error', ({ code }: NodeJS.ErrnoException) =>
      settle(code === 'ECONNREFUSED' ? 'refused' : 'silent'),
    );
  });
}

/**
 * Tells the crash of a back end from connections that break while it lives: as the first one breaks, the back end is called
 * on a new connection. Its machine refuses that where the process has ended. One that accepts lives, or has started again; one
 * that says nothing is cut off or without power, or the call was lost. Where such a start of it turns out to have ended a moment
 * later, that was a crash as well.
 */
import { connect as connectSocket } from 'node:net';
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { Log } from '../observability/log.js';
import type { BackEndCrash, Fingerprint } from '../systems/poison-requests.js';
import type { BackEndRow } from './back-end-table.js';

/** Time after which a call that nobody answers is given up, in milliseconds: above a packet that is lost and sent again. */
const CALL_LIMIT = 400;
/** Connections that break this long after the first one of a crash broke by it, in milliseconds: 15 were measured. */
const SAME_CRASH = 500;

/**
 * The end of a back end is told this long after its connections broke, or a request there was given up, at the most, in milliseconds: its
 * entry in the list lapses after three heartbeats and is read a moment later.
 */
const LATE_NEWS = 8_000;
/** Time between two looks whether one whose connections broke has ended, in milliseconds. */
const LOOK_INTERVAL = 250;

/** What a back end's machine says to a new connection. */
export type ConnectionAnswer = 'refused' | 'accepted' | 'silent';

/** A request at a back end. */
export interface CrashSuspect {
  row: BackEndRow;
  fingerprints: readonly Fingerprint[];
}

/** A request that was given up at a back end, which may still run it. */
interface GivenUpRequest extends CrashSuspect {
  at: number;
}

/** What the witness works with. */
export interface CrashWitnessOptions {
  /** Counts what the back ends' machines said to the calls. */
  calls: Record<ConnectionAnswer, number>;
  /** Takes a crash, and further suspects of it as they become known. */
  onCrash: (crash: BackEndCrash) => void;
  /** Whether this start of a back end has ended without notice: it is listed no more, or another one listens at its address. */
  hasEnded: (row: BackEndRow) => boolean;
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
  /** The earliest first. */
  #givenUp: GivenUpRequest[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CrashWitnessOptions) {
    this.#options = options;
  }

  /** The connection of a request in progress broke. */
  noteBroken({ row, fingerprints }: CrashSuspect): void {
    const now = performance.now();
    const known = this.#broken.get(keyOf(row.record));
    if (known === undefined || now - known.at > SAME_CRASH) return this.#begin(row, fingerprints, now);
    for (const fingerprint of fingerprints) known.suspects.add(fingerprint);
    if (known.hasCrashed === true) this.#tell(known, fingerprints);
  }

  /** A request in progress was given up. */
  noteGivenUp(suspect: CrashSuspect): void {
    const now = performance.now();
    this.#forgetGivenUp(now);
    this.#givenUp.push({ ...suspect, at: now });
    this.#lookFromNowOn();
  }

  /** Takes the requests that were given up lately at a back end that has crashed. */
  takeGivenUp({ id, start }: BackEndIdentity): Fingerprint[] {
    const isThere = ({ row: { record } }: GivenUpRequest) =>
      record.id === id && isSameStart(record.start, start);
    this.#forgetGivenUp(performance.now());
    const taken = this.#givenUp.filter(isThere);
    if (taken.length > 0) this.#givenUp = this.#givenUp.filter((one) => !isThere(one));
    return taken.flatMap(({ fingerprints }) => fingerprints);
  }

  /** Looks no more. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#broken.clear();
    this.#givenUp = [];
  }

  #begin(row: BackEndRow, fingerprints: readonly Fingerprint[], now: number): void {
    const broken = { row, at: now, hasCrashed: undefined, suspects: new Set(fingerprints) };
    this.#broken.set(keyOf(row.record), broken);
    this.#lookFromNowOn();
    void this.#ask(broken);
  }

  #lookFromNowOn(): void {
    this.#timer ??= setInterval(() => this.#look(), LOOK_INTERVAL).unref();
  }

  #forgetGivenUp(now: number): void {
    while (this.#givenUp.length > 0 && now - this.#givenUp[0].at > LATE_NEWS) this.#givenUp.shift();
  }

  /** News of the end of a back end may come late, or may have come while this process stood still. */
  #look(): void {
    const now = performance.now();
    for (const [key, broken] of this.#broken) {
      if (broken.hasCrashed === false && this.#options.hasEnded(broken.row)) this.#noteCrashed(broken);
      if (now - broken.at > LATE_NEWS) this.#broken.delete(key);
    }
    this.#forgetGivenUp(now);
    // Where all callers had left, no connection broke.
    const ended = this.#givenUp.filter(({ row }) => this.#options.hasEnded(row));
    for (const { row, at, fingerprints } of ended) this.#tell({ row, at }, fingerprints);
    if (ended.length > 0) this.#givenUp = this.#givenUp.filter((one) => !ended.includes(one));
    if (this.#broken.size === 0 && this.#givenUp.length === 0) this.stop();
  }

  async #ask(broken: BrokenConnections): Promise<void> {
    const { call = callOnce, calls, log } = this.#options;
    const { row } = broken;
    const answer = await call(row.record.address);
    calls[answer]++;
    broken.hasCrashed = answer === 'refused';
    if (broken.hasCrashed) return this.#noteCrashed(broken);
    log.info('connection broke, back end not seen to crash', { backEnd: row.record.id, answer });
  }

  #noteCrashed(broken: BrokenConnections): void {
    const { row, suspects } = broken;
    broken.hasCrashed = true;
    row.health.noteCrashed(performance.now());
    this.#options.log.info('back end crashed', { backEnd: row.record.id, suspects: suspects.size });
    this.#tell(broken, [...suspects]);
  }

  #tell({ row, at }: Pick<BrokenConnections, 'row' | 'at'>, suspects: readonly Fingerprint[]): void {
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

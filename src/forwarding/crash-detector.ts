/**
 * Distinguishes the crash of a back end from connections that break while it is running. When the first connection
 * breaks, a new connection to the back end is opened as a probe. If the process has ended, its machine refuses the
 * connection. If the connection is accepted, the back end is running or has restarted. If there is no answer, the
 * machine is unreachable or without power, or the probe was lost. If that start of the back end is found to have
 * ended shortly afterwards, it counts as a crash as well.
 */
import { connect as connectSocket } from 'node:net';
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { Log } from '../observability/log.js';
import type { BackEndCrash, Fingerprint } from '../systems/poison-requests.js';
import type { BackEndRow } from './back-end-table.js';

/** Timeout of a probe, in milliseconds: longer than the retransmission of a lost packet. */
const PROBE_TIMEOUT = 400;
/**
 * Connections that break within this time of the first one belong to the same crash, in milliseconds: the connections
 * to a crashed back end break within 15 ms.
 */
const SAME_CRASH_TIME = 500;

/**
 * Maximum time from a broken connection or an aborted request until the end of the back end is known, in
 * milliseconds: its record in the list expires after three heartbeats, and the list is read shortly afterwards.
 */
const END_DETECTION_TIME = 8_000;
/** Interval of the checks whether back ends with broken connections have ended, in milliseconds. */
const CHECK_INTERVAL = 250;

/** Result of a probe. */
export type ProbeResult = 'refused' | 'accepted' | 'silent';

/** A request in progress at a back end, which may have caused its crash. */
export interface CrashSuspect {
  row: BackEndRow;
  fingerprints: readonly Fingerprint[];
}

/** A request that was aborted, but which its back end may still run. */
interface GivenUpRequest extends CrashSuspect {
  at: number;
}

export interface CrashDetectorOptions {
  /** Counters of probes by result. */
  calls: Record<ProbeResult, number>;
  /** Called with each crash, and again with further suspects of it as they become known. */
  onCrash: (crash: BackEndCrash) => void;
  /**
   * Whether this start of a back end has ended without notice: it is no longer listed, or another back end listens at
   * its address.
   */
  hasEnded: (row: BackEndRow) => boolean;
  log: Log;
  /** Probes `host:port`: opens a connection and closes it again. */
  call?: (address: string) => Promise<ProbeResult>;
}

interface BrokenConnections {
  row: BackEndRow;
  at: number;
  /** Undefined while the probe is in progress. */
  hasCrashed: boolean | undefined;
  suspects: Set<Fingerprint>;
}

/** Detects crashes from the broken connections and aborted requests of one entry. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #broken = new Map<string, BrokenConnections>();
  /** In the order in which they were aborted. */
  #givenUp: GivenUpRequest[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** The connection of a request in progress broke. */
  noteBroken({ row, fingerprints }: CrashSuspect): void {
    const now = performance.now();
    const known = this.#broken.get(keyOf(row.record));
    if (known === undefined || now - known.at > SAME_CRASH_TIME)
      return this.#startProbe(row, fingerprints, now);
    for (const fingerprint of fingerprints) known.suspects.add(fingerprint);
    if (known.hasCrashed === true) this.#reportSuspects(known, fingerprints);
  }

  /** A request in progress was aborted. */
  noteGivenUp(suspect: CrashSuspect): void {
    const now = performance.now();
    this.#expireGivenUp(now);
    this.#givenUp.push({ ...suspect, at: now });
    this.#startChecks();
  }

  /** Removes and returns the requests that were recently aborted at a back end that has crashed. */
  removeGivenUp({ id, start }: BackEndIdentity): Fingerprint[] {
    const isThere = ({ row: { record } }: GivenUpRequest) =>
      record.id === id && isSameStart(record.start, start);
    this.#expireGivenUp(performance.now());
    const taken = this.#givenUp.filter(isThere);
    if (taken.length > 0) this.#givenUp = this.#givenUp.filter((one) => !isThere(one));
    return taken.flatMap(({ fingerprints }) => fingerprints);
  }

  /** Stops checking and discards all state. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#broken.clear();
    this.#givenUp = [];
  }

  #startProbe(row: BackEndRow, fingerprints: readonly Fingerprint[], now: number): void {
    const broken = { row, at: now, hasCrashed: undefined, suspects: new Set(fingerprints) };
    this.#broken.set(keyOf(row.record), broken);
    this.#startChecks();
    void this.#probe(broken);
  }

  #startChecks(): void {
    this.#timer ??= setInterval(() => this.#checkEnded(), CHECK_INTERVAL).unref();
  }

  #expireGivenUp(now: number): void {
    while (this.#givenUp.length > 0 && now - this.#givenUp[0].at > END_DETECTION_TIME) this.#givenUp.shift();
  }

  /**
   * Checks whether back ends have ended. The list may show this late, or may have shown it while this process was
   * paused.
   */
  #checkEnded(): void {
    const now = performance.now();
    for (const [key, broken] of this.#broken) {
      if (broken.hasCrashed === false && this.#options.hasEnded(broken.row)) this.#noteCrashed(broken);
      if (now - broken.at > END_DETECTION_TIME) this.#broken.delete(key);
    }
    this.#expireGivenUp(now);
    // If all callers had left before the crash, no connection broke.
    const ended = this.#givenUp.filter(({ row }) => this.#options.hasEnded(row));
    for (const { row, at, fingerprints } of ended) this.#reportSuspects({ row, at }, fingerprints);
    if (ended.length > 0) this.#givenUp = this.#givenUp.filter((one) => !ended.includes(one));
    if (this.#broken.size === 0 && this.#givenUp.length === 0) this.stop();
  }

  async #probe(broken: BrokenConnections): Promise<void> {
    const { call = probe, calls, log } = this.#options;
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
    this.#reportSuspects(broken, [...suspects]);
  }

  #reportSuspects(
    { row, at }: Pick<BrokenConnections, 'row' | 'at'>,
    suspects: readonly Fingerprint[],
  ): void {
    const { id: backEnd, start } = row.record;
    this.#options.onCrash({ backEnd, start, at, suspects });
  }
}

function keyOf({ id, start }: BackEndIdentity): string {
  return `${id} ${start ?? ''}`;
}

function probe(address: string): Promise<ProbeResult> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connectSocket({ host, port: Number(port), timeout: PROBE_TIMEOUT });
    const settle = (answer: ProbeResult) => {
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

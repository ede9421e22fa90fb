/**
 * Distinguishes the crash of a back end from connections that break while it is running. When the first connection
 * breaks, a new connection to the back end is opened as a probe. If the process has ended, its machine refuses the
 * connection. If the connection is accepted, the back end is running or has restarted. If there is no answer, the
 * machine is unreachable or without power, or the probe was lost. If that start of the back end is found to have
 * ended shortly afterwards, it counts as a crash as well, and so does one that refuses a later connection.
 *
 * An answer that is delimited by the end of its connection ends in the same way if its back end crashes. It counts as served
 * only once the back end has answered another request since.
 */
import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';
import type { Log } from '../observability/log.js';
import type { BackEndCrash, RequestContent } from '../systems/poison-requests.js';
import { type ProbeResult, probeConnection } from './back-end-probe.js';
import type { BackEndRow } from './back-end-table.js';

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
/**
 * Maximum time from a broken connection to a refused one of the same crash, in milliseconds: a back end that leaves as planned
 * later refuses connections too.
 */
const REFUSAL_TIME = 2_000;
/** Maximum number of contents kept for one crash, or as aborted or ended ones; above the number of requests in progress. */
const MAX_CONTENTS = 1_000;
/** Interval of the checks whether back ends with broken connections have ended, in milliseconds. */
const CHECK_INTERVAL = 250;

/** Maximum number of parts in a log line. */
const MAX_LOGGED_PARTS = 32;

/** A request in progress at a back end, which may have caused its crash. */
export interface CrashSuspect {
  row: BackEndRow;
  content: RequestContent;
}

/** A request that was aborted, but which its back end may still run, or one whose answer ended with its connection. */
interface PastRequest extends CrashSuspect {
  at: number;
}

export interface CrashDetectorOptions {
  /** Counters of probes by result. */
  calls: Record<ProbeResult, number>;
  /** Called with each crash, and again with further suspects of it as they become known. */
  onCrash: (crash: BackEndCrash) => void;
  /** Called with the content of an answer that ended with its connection at `at`, once its back end proves to be running. */
  onServed: (content: RequestContent, at: number) => void;
  /** Whether this start of a back end has ended: it is no longer listed, or another back end listens at its address. */
  hasEnded: (row: BackEndRow) => boolean;
  /** Whether this start of a back end is leaving or has left as planned: its end is no crash. */
  isLeaving: (backEnd: BackEndIdentity) => boolean;
  log: Log;
  /** Probes `host:port`: opens a connection and closes it again. */
  call?: (address: string) => Promise<ProbeResult>;
}

interface BrokenConnections {
  row: BackEndRow;
  at: number;
  /** Undefined while the probe is in progress. */
  hasCrashed: boolean | undefined;
  contents: RequestContent[];
}

/** Detects crashes from the broken connections and aborted requests of one entry. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #broken = new Map<string, BrokenConnections>();
  /** In the order in which they were aborted. */
  #givenUp: PastRequest[] = [];
  /** Requests whose answers ended with their connections, in that order. */
  #endedByClose: PastRequest[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** The connection of a request in progress broke. */
  noteBroken({ row, content }: CrashSuspect): void {
    const now = performance.now();
    const known = this.#broken.get(keyOf(row.record));
    if (known === undefined || now - known.at > SAME_CRASH_TIME) return this.#startProbe(row, content, now);
    if (known.contents.length < MAX_CONTENTS) known.contents.push(content);
    if (known.hasCrashed === true) this.#reportSuspects(known, [content]);
  }

  /** A request in progress was aborted. */
  noteGivenUp(suspect: CrashSuspect): void {
    const now = performance.now();
    this.#expirePast(now);
    keepLatest(this.#givenUp, { ...suspect, at: now });
    this.#startChecks();
  }

  /** The answer to a request ended with its connection. */
  noteEndedByClose(suspect: CrashSuspect): void {
    const now = performance.now();
    this.#expirePast(now);
    keepLatest(this.#endedByClose, { ...suspect, at: now });
    this.#startChecks();
  }

  /** A new connection to a back end was refused: connections that broke or ended shortly before did so at its crash. */
  noteRefused(row: BackEndRow): void {
    if (this.#options.isLeaving(row.record)) return;
    const now = performance.now();
    const broken = this.#broken.get(keyOf(row.record));
    if (broken?.hasCrashed === false && now - broken.at < REFUSAL_TIME) this.#noteCrashed(broken);
    const [first] = this.#endedByClose.filter((one) => one.row === row && now - one.at < REFUSAL_TIME);
    if (first !== undefined) this.#noteCrashed({ row, at: first.at, hasCrashed: false, contents: [] });
  }

  /** A back end has answered an attempt that began at `startedAt`: it did not crash before. */
  noteAnswering(row: BackEndRow, startedAt: number): void {
    if (this.#endedByClose.length === 0) return;
    const isServed = (one: PastRequest) => one.row === row && one.at < startedAt;
    const served = this.#endedByClose.filter(isServed);
    if (served.length === 0) return;
    this.#endedByClose = this.#endedByClose.filter((one) => !isServed(one));
    for (const { content, at } of served) this.#options.onServed(content, at);
  }

  /**
   * Removes and returns the requests that may have been in progress at the crash of a back end although their connections did
   * not break: those aborted there recently, and those whose answers have ended with their connections.
   */
  removePast({ id, start }: BackEndIdentity): RequestContent[] {
    const isThere = ({ row: { record } }: PastRequest) =>
      record.id === id && isSameStart(record.start, start);
    this.#expirePast(performance.now());
    const taken = [...this.#givenUp, ...this.#endedByClose].filter(isThere);
    if (taken.length === 0) return [];
    this.#givenUp = this.#givenUp.filter((one) => !isThere(one));
    this.#endedByClose = this.#endedByClose.filter((one) => !isThere(one));
    return taken.map(({ content }) => content);
  }

  /** Stops checking and discards all state. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#broken.clear();
    this.#givenUp = [];
    this.#endedByClose = [];
  }

  #startProbe(row: BackEndRow, content: RequestContent, now: number): void {
    const broken = { row, at: now, hasCrashed: undefined, contents: [content] };
    this.#broken.set(keyOf(row.record), broken);
    this.#startChecks();
    void this.#probe(broken);
  }

  #startChecks(): void {
    this.#timer ??= setInterval(() => this.#checkEnded(), CHECK_INTERVAL).unref();
  }

  /** Discards aborted requests after `END_DETECTION_TIME`; answers that ended by then count as served. */
  #expirePast(now: number): void {
    const isExpired = (one: PastRequest | undefined) =>
      one !== undefined && now - one.at > END_DETECTION_TIME;
    while (isExpired(this.#givenUp[0])) this.#givenUp.shift();
    while (isExpired(this.#endedByClose[0])) {
      const { content, at } = this.#endedByClose.shift()!;
      this.#options.onServed(content, at);
    }
  }

  /**
   * Checks whether back ends have ended. The list may show this late, or may have shown it while this process was
   * paused.
   */
  #checkEnded(): void {
    const now = performance.now();
    for (const [key, broken] of this.#broken) {
      if (broken.hasCrashed === false && this.#hasEndedUnplanned(broken.row)) this.#noteCrashed(broken);
      if (now - broken.at > END_DETECTION_TIME) this.#broken.delete(key);
    }
    this.#expirePast(now);
    // If all callers had left before the crash, or all answers ended with their connections, no connection broke.
    const ended = [...this.#givenUp, ...this.#endedByClose].filter(({ row }) => this.#hasEndedUnplanned(row));
    for (const { row, at, content } of ended) this.#reportSuspects({ row, at }, [content]);
    if (ended.length > 0) {
      this.#givenUp = this.#givenUp.filter((one) => !ended.includes(one));
      this.#endedByClose = this.#endedByClose.filter((one) => !ended.includes(one));
    }
    if (this.#broken.size + this.#givenUp.length + this.#endedByClose.length === 0) this.stop();
  }

  #hasEndedUnplanned(row: BackEndRow): boolean {
    return this.#options.hasEnded(row) && !this.#options.isLeaving(row.record);
  }

  async #probe(broken: BrokenConnections): Promise<void> {
    const { call = probeConnection, calls, log } = this.#options;
    const { row } = broken;
    const answer = await call(row.record.address);
    calls[answer]++;
    broken.hasCrashed = answer === 'refused' && !this.#options.isLeaving(row.record);
    if (broken.hasCrashed) return this.#noteCrashed(broken);
    log.info('connection broke, back end not seen to crash', { backEnd: row.record.id, answer });
  }

  #noteCrashed(broken: BrokenConnections): void {
    const { row, contents } = broken;
    broken.hasCrashed = true;
    row.health.noteCrashed(performance.now());
    const parts = new Set(contents.flatMap((content) => content.parts));
    this.#options.log.info('back end crashed', {
      backEnd: row.record.id,
      suspects: new Set(contents.flatMap(({ fingerprints }) => fingerprints)).size,
      parts: [...parts].slice(0, MAX_LOGGED_PARTS),
    });
    this.#reportSuspects(broken, contents);
  }

  #reportSuspects(
    { row, at }: Pick<BrokenConnections, 'row' | 'at'>,
    contents: readonly RequestContent[],
  ): void {
    const { id: backEnd, start } = row.record;
    this.#options.onCrash({ backEnd, start, at, ...suspectsOf(contents) });
  }
}

/** The fingerprints and parts of requests that were in progress at a crash. */
export function suspectsOf(contents: readonly RequestContent[]): Pick<BackEndCrash, 'suspects' | 'parts'> {
  return {
    suspects: [...new Set(contents.flatMap(({ fingerprints }) => fingerprints))],
    parts: contents
      .filter(({ parts }) => parts.length > 0)
      .map(({ tenant, parts }) => ({ tenant, parts: [...parts] })),
  };
}

function keepLatest(requests: PastRequest[], added: PastRequest): void {
  requests.push(added);
  if (requests.length > MAX_CONTENTS) requests.shift();
}

function keyOf({ id, start }: BackEndIdentity): string {
  return `${id} ${start ?? ''}`;
}

/**
 * A prompt part that crashes every engine which begins to answer a request with it. The requests come at any entry, no two of them
 * are alike, and sound ones share their caller and their first part. Their connections end in different ways.
 */
import type { IncomingMessage } from 'node:http';
import type { Random } from '../../../src/model/random.js';
import { FIRST_PART, partsOf, type SentRequest, sendRequest } from './callers.js';
import { CRASH_ENDINGS, type CrashEnding } from './workers.js';
import type { SoakWorld } from './world.js';

const PART = 'dead';
/** Pause between two requests, in milliseconds. */
const PAUSE = 150;
/** A crash counts as a disruption of its engine for this long, in milliseconds. */
const DISRUPTION_TIME = 4_000;
/** Time by which an undisturbed entry knows what another one has learnt, in milliseconds. */
const CONTACT_TIME = 3_000;
const CRASHES_TO_KNOW = 5;
/** Maximum number of requests with the part that reach engines once it must be known. */
const MAX_SENDS = 3;
/** Retry delays from this value on, in seconds, are those of quarantines: a lack of capacity passes sooner. */
const QUARANTINE_RETRY_AFTER = 2.5;
/** Share of the sound requests that may be refused as if they were quarantined, and a number that always may. */
const MAX_REFUSED_SHARE = 0.02;
const MAX_REFUSED = 3;

export class DeadlyPart {
  readonly sent: SentRequest[] = [];
  readonly #world: SoakWorld;
  readonly #random: Random;
  readonly #crashedAt: number[] = [];
  #isStopped = false;

  constructor(world: SoakWorld, random: Random) {
    this.#world = world;
    this.#random = random;
    world.log.crashEndingOf = (request) => this.#endingOf(request);
    world.log.onCrash = (worker) => this.#onCrash(worker);
  }

  /** Number of engines that the part has crashed. */
  get crashes(): number {
    return this.#crashedAt.length;
  }

  /** Sends requests with the part until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const entries = this.#world.entryAddresses();
      const { callers } = entries[this.#random.below(entries.length)];
      const id = `part-${this.sent.length}`;
      const isFirst = this.sent.length % 2 === 0;
      const parts = partsOf(isFirst ? [PART, FIRST_PART] : [FIRST_PART, PART], id);
      this.sent.push(
        await sendRequest(callers, undefined, { id, kind: 'write', path: `/write/${id}`, body: id, parts }),
      );
      await new Promise((resolve) => setTimeout(resolve, PAUSE));
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Reports requests with the part that reached engines after it must have been known, and sound requests that were refused for it.
   * @param sound - requests without the part
   */
  judge(sound: readonly SentRequest[]): string[] {
    const fifth = this.#crashedAt[CRASHES_TO_KNOW - 1] ?? Number.POSITIVE_INFINITY;
    const entryOf = new Map(this.sent.map(({ id, entry }) => [id, this.#world.entryAt(entry)]));
    const late = this.#world.log.arrivals.filter(({ requestId, at }) => {
      const entry = entryOf.get(requestId);
      return entry !== undefined && at > fifth + CONTACT_TIME && this.#isUndisturbed(entry, at);
    });
    const last = this.#crashedAt.slice(0, CRASHES_TO_KNOW).at(-1) ?? Number.POSITIVE_INFINITY;
    const judged = sound.filter(
      ({ kind, entry, sentAt }) =>
        (kind === 'write' || kind === 'long') &&
        sentAt > last + 2 * CONTACT_TIME &&
        this.#isUndisturbed(this.#world.entryAt(entry), sentAt),
    );
    const refused = judged.filter(
      ({ status, headers }) => status === 503 && Number(headers['retry-after']) >= QUARANTINE_RETRY_AFTER,
    );
    const violations: string[] = [];
    if (late.length > MAX_SENDS)
      violations.push(
        `BUDGET: ${late.length} requests with one part reached engines later, ${this.#crashedAt.length} crashed, as of ${late[0].requestId}`,
      );
    if (refused.length > Math.max(MAX_REFUSED, judged.length * MAX_REFUSED_SHARE))
      violations.push(
        `LOST: ${refused.length} of ${judged.length} sound requests were refused, as of ${refused[0].id}`,
      );
    return violations;
  }

  #isUndisturbed(entry: string, at: number): boolean {
    return this.#world.disruptions.areUndisturbed([entry], at - CONTACT_TIME, at);
  }

  #endingOf({ headers }: IncomingMessage): CrashEnding | undefined {
    const parts = String(headers['prompt-prefix'] ?? '').split(',');
    if (!parts.some((part) => part.startsWith(`${PART}:`))) return undefined;
    return CRASH_ENDINGS[this.#random.below(CRASH_ENDINGS.length)];
  }

  #onCrash(worker: string): void {
    const place = this.#world.workers.findIndex((one) => one.worker.id === worker);
    if (place < 0) return;
    this.#crashedAt.push(performance.now());
    this.#world.disruptions.record([worker], DISRUPTION_TIME);
    void this.#world.replaceWorker(place);
  }
}

/**
 * Property tests of a back end that restarts, with reports that arrive in any order or not at all. No state of an older start
 * is used once a newer one is known, state of two starts is never mixed, and no state of an older start is kept forever.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { BackEndSet } from '../../src/fleet/back-end-identity.js';
import { BackEndList } from '../../src/fleet/back-end-list.js';
import { RECORDS_TO_CONFIRM } from '../../src/fleet/back-end-starts.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { BackEndBackoffs } from '../../src/forwarding/back-end-backoffs.js';
import type { Requirements } from '../../src/forwarding/back-end-eligibility.js';
import { BackEndLimits } from '../../src/forwarding/back-end-limits.js';
import { BackEndSelector } from '../../src/forwarding/back-end-selector.js';
import { type BackEndRow, BackEndTable } from '../../src/forwarding/back-end-table.js';
import { seededRandom } from '../../src/model/random.js';
import { silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';
import type { BackEndListState, BackEndRecord } from '../../src/protocol/back-end-list-state.js';
import type { BackEndLoad } from '../../src/protocol/reports.js';
import { SlotTable } from '../../src/systems/slot-table.js';
import { EngineStarts } from '../../src/weights/engine-starts.js';
import { ENGINE_CONFIGURATION, ENGINE_LAYERS } from './engine-configuration.js';

const RUNS = 400;
/** Maximum number of steps of a run. */
const MAX_STEPS = 80;
const ID = 'one';
const ADDRESS = '127.0.0.1:1';
const FIRST_START = 1_000_000;
/** Number of records and reports of the present start after which the state must be correct. */
const SETTLING_ROUNDS = RECORDS_TO_CONFIRM + 1;

/** One step of a run; `pick` chooses among the available items. */
type Step =
  | { type: 'restart'; clockStep: number }
  | { type: 'write' }
  | { type: 'lateWrite' }
  | { type: 'report' }
  | { type: 'load' }
  | { type: 'peerReads'; pick: number }
  | { type: 'peerTells' }
  | { type: 'deliver' | 'repeat' | 'lose'; pick: number }
  | { type: 'ask' }
  | { type: 'answerFails'; pick: number };

/** A message on its way to the entry. */
type Message =
  | { type: 'entry'; record: BackEndRecord }
  | { type: 'report'; start: number; follows: number | undefined }
  | { type: 'load'; load: BackEndLoad }
  | { type: 'list'; state: BackEndListState };

/** A back end that restarts, and an entry that gets messages about it in any order. */
class RestartModel {
  readonly fleet = new FleetView();
  readonly table = new BackEndTable();
  readonly selector: BackEndSelector;
  /** The list that another entry has read. */
  readonly peer = new BackEndList();
  /** The starts in chronological order. */
  readonly starts = [FIRST_START];
  /** Index of the newest start about which a message has arrived. */
  newestReported = -1;
  readonly asked: BackEndRow[] = [];
  readonly failed = new Set<BackEndRow>();
  #revision = 0;
  #inTransit: Message[] = [];
  /** Records of each start that arrived after a message about a newer one. */
  readonly #late = new Map<number, Set<number>>();

  constructor() {
    this.fleet.listen({ onBackEnds: (changes) => this.table.apply(changes) });
    this.fleet.applyConfiguration({ document: Buffer.from(''), configuration: ENGINE_CONFIGURATION });
    this.selector = new BackEndSelector({
      fleet: this.fleet,
      table: this.table,
      random: seededRandom(3),
      self: { zone: 'zone-a', region: 'region-a' },
      regionOf: () => 'region-a',
      versionBound: 8_000,
      entryCount: () => 1,
      limits: new BackEndLimits(silentLog, new Metrics('test')),
      backoffs: new BackEndBackoffs(silentLog, new Metrics('test')),
      permits: { mayClaim: () => true },
    });
  }

  get present(): number {
    return this.starts[this.starts.length - 1];
  }

  get row(): BackEndRow | undefined {
    return this.table.rows.get(ID);
  }

  take(step: Step): void {
    if (step.type === 'restart') this.starts.push(this.#nextStart(step.clockStep));
    else if (step.type === 'write') this.#inTransit.push(this.#entryOf(this.present));
    else if (step.type === 'lateWrite')
      this.#inTransit.push(this.#entryOf(this.starts.at(-2) ?? this.present));
    else if (step.type === 'report') this.#inTransit.push(this.#report());
    else if (step.type === 'load') this.#inTransit.push(this.#loadOf(this.present));
    else if (step.type === 'peerReads') this.#peerReads(step.pick);
    else if (step.type === 'peerTells') this.#inTransit.push({ type: 'list', state: this.peer.state() });
    else if (step.type === 'ask') this.#ask();
    else if (step.type === 'answerFails') this.#failAnswer(step.pick);
    else this.#handleMessage(step.type, step.pick);
  }

  /** Loses all messages on their way, and then delivers messages of the present start only. */
  settle(): void {
    this.#inTransit = [];
    for (let round = 0; round < SETTLING_ROUNDS; round++) {
      this.deliver(this.#entryOf(this.present));
      this.deliver(this.#report());
      this.deliver(this.#loadOf(this.present));
    }
  }

  deliver(news: Message): void {
    if (news.type === 'entry') {
      const { record } = news;
      if (this.#isLost(record)) return;
      this.fleet.applyBackEndChanges([{ type: 'changed', record }], record.revision);
      this.#noteReported(record.start!);
    } else if (news.type === 'report') {
      const isListed = this.row !== undefined;
      const row = this.table.rowAt(ADDRESS, news.start);
      if (row !== undefined) this.fleet.applyReportedStart({ id: ID, start: news.start }, news.follows);
      this.table.applyReport(ADDRESS, this.#engineNews(news.start));
      // A report has no effect while no record has assigned its address to a back end.
      if (isListed) this.#noteReported(news.start);
    } else if (news.type === 'load') this.table.applyLoads('peer', [news.load]);
    else {
      if (news.state.records.some((record) => this.#isLost(record))) return;
      this.fleet.applyBackEndList(news.state, 'peer');
      for (const { start } of news.state.records) this.#noteReported(start!);
    }
  }

  /** Kinds of state that belong to another start than the one at which they were found. */
  mixed(): string[] {
    const { row } = this;
    if (row === undefined) return [];
    const { record, news, inFlightElsewhere, health } = row;
    const place = this.#placeOf(record.start!);
    const found: string[] = [];
    if (record.layers !== undefined && record.layers.version !== place + 1) found.push('layers');
    if (news !== undefined && (news.start !== record.start || news.version !== place + 1)) found.push('news');
    if (inFlightElsewhere !== 0 && inFlightElsewhere !== place + 1) found.push('load');
    if (health.suspended && !this.failed.has(row)) found.push('health');
    for (const other of this.asked) {
      if (other.record.start !== record.start && this.selector.isEligibleWithSlot(other, requirements()))
        found.push('grant');
    }
    const tried = new BackEndSet();
    for (const other of this.asked) if (other.record.start !== record.start) tried.add(other.record);
    if (tried.has(record)) found.push('tried');
    return found;
  }

  /** Index of the start that the entry considers the present one; -1 for none. */
  get assumedStart(): number {
    return this.row === undefined ? -1 : this.#placeOf(this.row.record.start!);
  }

  /** True for records that cannot arrive: a read returns only the latest, so few come after a message about a newer start. */
  #isLost({ start, revision }: BackEndRecord): boolean {
    if (this.#placeOf(start!) >= this.newestReported) return false;
    const late = this.#late.get(start!) ?? new Set();
    this.#late.set(start!, late.add(revision));
    return late.size >= RECORDS_TO_CONFIRM;
  }

  #nextStart(clockStep: number): number {
    let start = this.present + clockStep;
    while (this.starts.includes(start)) start++;
    return start;
  }

  #placeOf(start: number): number {
    return this.starts.indexOf(start);
  }

  #noteReported(start: number): void {
    this.newestReported = Math.max(this.newestReported, this.#placeOf(start));
  }

  #entryOf(start: number): Message & { type: 'entry' } {
    const record: BackEndRecord = {
      id: ID,
      start,
      service: 'engines',
      address: ADDRESS,
      zone: 'zone-a',
      slots: 4,
      leaving: false,
      layers: { from: 0, end: ENGINE_LAYERS, version: this.#placeOf(start) + 1 },
      revision: ++this.#revision,
    };
    return { type: 'entry', record };
  }

  /** Creates a report; the agent may not have seen the previous start, as after a restart of its own. */
  #report(): Message & { type: 'report' } {
    const follows = this.#revision % 2 === 0 ? this.starts.at(-2) : undefined;
    return { type: 'report', start: this.present, follows };
  }

  #loadOf(start: number): Message & { type: 'load' } {
    return { type: 'load', load: { id: ID, start, inFlight: this.#placeOf(start) + 1 } };
  }

  #engineNews(start: number) {
    return {
      start,
      version: this.#placeOf(start) + 1,
      isReached: true,
      isSwitching: false,
      slotAddress: '127.0.0.1:2',
      load: 0,
      reportedAt: performance.now(),
      switchAt: Number.POSITIVE_INFINITY,
    };
  }

  #peerReads(pick: number): void {
    const entries = this.#inTransit.filter((news) => news.type === 'entry');
    if (entries.length === 0) return;
    const { record } = entries[pick % entries.length];
    this.peer.apply([{ type: 'changed', record }], record.revision);
  }

  #handleMessage(how: 'deliver' | 'repeat' | 'lose', pick: number): void {
    if (this.#inTransit.length === 0) return;
    const place = pick % this.#inTransit.length;
    const news = this.#inTransit[place];
    if (how !== 'repeat') this.#inTransit.splice(place, 1);
    if (how !== 'lose') this.deliver(news);
  }

  #ask(): void {
    if (this.row !== undefined) this.asked.push(this.row);
  }

  /** Fails a request that was sent some time ago. */
  #failAnswer(pick: number): void {
    if (this.asked.length === 0) return;
    const row = this.asked[pick % this.asked.length];
    for (let failures = 0; failures < 2; failures++) row.health.note('silent', 0, 0);
    this.failed.add(row);
  }
}

function requirements(): Requirements {
  return {
    service: 'engines',
    engine: undefined,
    regions: undefined,
    isRepeatable: true,
    mayQueue: true,
    answerTokens: 0,
    isContinuation: false,
    isLastResort: false,
    version: undefined,
    tried: new BackEndSet(),
  };
}

const pick = fc.nat({ max: 1_000 });
const common: fc.Arbitrary<Step>[] = [
  fc.constant({ type: 'write' }),
  fc.constant({ type: 'report' }),
  fc.constant({ type: 'load' }),
  fc.record({ type: fc.constant('peerReads'), pick }),
  fc.constant({ type: 'peerTells' }),
  fc.record({ type: fc.constantFrom('deliver', 'repeat', 'lose'), pick }),
  fc.record({ type: fc.constant('deliver'), pick }),
  fc.constant({ type: 'ask' }),
  fc.record({ type: fc.constant('answerFails'), pick }),
];
const restartWith = (clockStep: fc.Arbitrary<number>): fc.Arbitrary<Step> =>
  fc.record({ type: fc.constant('restart'), clockStep });
/** Clocks go forward, and a start writes its last record before the next one begins. */
const orderly = fc.array(fc.oneof(...common, restartWith(fc.integer({ min: 1, max: 5_000 }))), {
  maxLength: MAX_STEPS,
  size: 'max',
});
/** Clocks may step back too, and the last record of a start may be written after the first of the next. */
const disorderly = fc.array(
  fc.oneof(
    ...common,
    fc.constant<Step>({ type: 'lateWrite' }),
    restartWith(fc.integer({ min: -5_000, max: 5_000 })),
  ),
  { maxLength: MAX_STEPS, size: 'max' },
);

describe('messages about starts in any order', () => {
  it('never bring an older start back once a newer one is known', () => {
    fc.assert(
      fc.property(orderly, (steps) => {
        const model = new RestartModel();
        for (const step of steps) {
          model.take(step);
          expect(model.assumedStart).toBe(model.newestReported);
          expect(model.mixed()).toEqual([]);
        }
      }),
      { numRuns: RUNS, seed: 27 },
    );
  });

  it('never mix state of two starts, nor keep an older one forever, even if clocks step back', () => {
    fc.assert(
      fc.property(disorderly, (steps) => {
        const model = new RestartModel();
        for (const step of steps) {
          model.take(step);
          expect(model.mixed()).toEqual([]);
        }
        model.settle();
        expect(model.assumedStart).toBe(model.starts.length - 1);
        expect(model.row).toMatchObject({ news: { start: model.present } });
        expect(model.mixed()).toEqual([]);
      }),
      { numRuns: RUNS, seed: 28 },
    );
  });
});

describe('an agent whose calls to its engine overlap', () => {
  /** A call: the engine answers after `after` with its start at that time, and the answer arrives `back` later. */
  const call = fc.record({
    askedAt: fc.nat({ max: 500 }),
    after: fc.nat({ max: 60 }),
    back: fc.nat({ max: 60 }),
  });
  const restarts = fc.array(
    fc.record({ at: fc.nat({ max: 500 }), clockStep: fc.integer({ min: -300, max: 900 }) }),
    {
      maxLength: 4,
    },
  );

  it('never returns to a previous start if clocks go forward, and knows the present one after a call that does not overlap', () => {
    fc.assert(
      fc.property(
        fc.array(call, { minLength: 1, maxLength: 20, size: 'max' }),
        restarts,
        fc.boolean(),
        (calls, changes, stepsBack) => {
          const timeline = startsOver(changes, stepsBack);
          const startAt = (time: number) => timeline.filter(({ at }) => at <= time).at(-1)!;
          const answers = calls
            .map(({ askedAt, after, back }) => ({
              askedAt,
              at: askedAt + after + back,
              told: startAt(askedAt + after),
            }))
            .sort((one, other) => one.at - other.at);
          const starts = new EngineStarts();
          let newest = -1;
          for (const { askedAt, at, told } of answers) {
            starts.noteAnswer(told.start, askedAt, at);
            newest = Math.max(newest, told.place);
            if (!stepsBack) expect(timeline.findIndex(({ start }) => start === starts.current)).toBe(newest);
          }
          const last = startAt(10_000);
          starts.noteAnswer(last.start, 10_000, 10_001);
          expect(starts.current).toBe(last.start);
        },
      ),
      { numRuns: RUNS, seed: 29 },
    );
  });

  it('grants no slot of a previous start, whatever is requested, granted, released and lost', () => {
    const step = fc.oneof(
      fc.record({ type: fc.constant('ask' as const), id: fc.nat({ max: 12 }) }),
      fc.record({ type: fc.constant('release' as const), id: fc.nat({ max: 12 }) }),
      fc.record({ type: fc.constant('observe' as const), load: fc.nat({ max: 4 }), isServing: fc.boolean() }),
      fc.constant({ type: 'restart' as const }),
      fc.constant({ type: 'lose' as const }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: MAX_STEPS, size: 'max' }), (steps) => {
        const table = new SlotTable();
        let start = FIRST_START;
        let now = 0;
        for (const one of steps) {
          now += 50;
          const id = 'id' in one ? `request-${one.id}` : '';
          if (one.type === 'ask')
            table.ask({ id, urgency: 0, waitsSince: now, endsAt: now + 400, slots: 4 }, now);
          else if (one.type === 'release') table.release(id, now);
          else if (one.type === 'lose') table.invalidate();
          else if (one.type === 'observe') table.observe({ start, ...one }, now);
          else {
            table.observe({ start: ++start, isServing: false, load: 0 }, now);
            expect(table.figures.granted).toBe(0);
          }
          expect(table.figures.granted).toBeLessThanOrEqual(4);
        }
      }),
      { numRuns: RUNS, seed: 30 },
    );
  });
});

/** The starts of an engine over time. */
function startsOver(
  changes: ReadonlyArray<{ at: number; clockStep: number }>,
  stepsBack: boolean,
): Array<{ at: number; start: number; place: number }> {
  const timeline = [{ at: Number.NEGATIVE_INFINITY, start: FIRST_START, place: 0 }];
  for (const { at, clockStep } of [...changes].sort((one, other) => one.at - other.at)) {
    const { start, place } = timeline[timeline.length - 1];
    const step = stepsBack ? clockStep : Math.abs(clockStep) + 1;
    let next = start + step;
    while (timeline.some((known) => known.start === next)) next++;
    timeline.push({ at, start: next, place: place + 1 });
  }
  return timeline;
}

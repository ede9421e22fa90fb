/** Generated records: decoding never throws, decoded values are within bounds, and invalid rows do not affect valid ones. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { platformRecords } from '../../platform/records.js';
import { BackEndList } from '../../src/fleet/back-end-list.js';
import type { FleetConfiguration } from '../../src/fleet/configuration.js';
import { RouteTable, targetService } from '../../src/fleet/route-table.js';
import type { BackEndRecord } from '../../src/protocol/back-end-list-state.js';
import { configurationDocument, workerRow } from './wire-rows.js';

const RUNS = { seed: 27, numRuns: 1_500 };
const LONGEST_TIMER = 2_147_483_647;

const row = (key: string, value: Buffer, revision = 1) => ({
  table: 'servers',
  partition: '',
  key,
  value,
  revision,
});
const bytesOf = (value: unknown) => Buffer.from(JSON.stringify(value) ?? '');

/** Values that a field may contain by mistake. */
const unexpectedValue = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom(null, -1, 0, 0.5, 1e15, 1e300, '', '16', 'NaN', [], {}, [null], true),
  fc.string({ maxLength: 40 }),
);

/** Paths to all values in a document. */
function pathsOf(value: unknown, path: string[] = []): string[][] {
  if (value === null || typeof value !== 'object') return [path];
  return [path, ...Object.entries(value).flatMap(([key, inner]) => pathsOf(inner, [...path, key]))];
}

/** A copy of `value` with `odd` at `path`, or without that field if `odd` is undefined. */
function changedAt(value: unknown, path: readonly string[], odd: unknown): unknown {
  const [key, ...rest] = path;
  if (key === undefined) return odd;
  if (value === null || typeof value !== 'object') return value;
  const copy: Record<string, unknown> | unknown[] = Array.isArray(value) ? [...value] : { ...value };
  (copy as Record<string, unknown>)[key] = changedAt((value as Record<string, unknown>)[key], rest, odd);
  return copy;
}

/** A document of which some values are replaced or removed. */
function mutated(document: object): fc.Arbitrary<unknown> {
  const change = fc.tuple(
    fc.constantFrom(...pathsOf(document)),
    fc.option(unexpectedValue, { nil: undefined }),
  );
  return fc
    .array(change, { minLength: 1, maxLength: 4 })
    .map((changes) => changes.reduce<unknown>((whole, [path, odd]) => changedAt(whole, path, odd), document));
}

/** Random bytes, a document with some bytes changed, or a truncated document. */
function mutatedBytes(document: object): fc.Arbitrary<Buffer> {
  const whole = bytesOf(document);
  const change = fc.tuple(fc.nat(whole.length - 1), fc.nat(255));
  const changed = fc.array(change, { minLength: 1, maxLength: 5 }).map((changes) => {
    const copy = Buffer.from(whole);
    for (const [at, byte] of changes) copy[at] = byte;
    return copy;
  });
  const any = fc.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes));
  return fc.oneof(
    any,
    changed,
    fc.nat(whole.length).map((length) => whole.subarray(0, length)),
  );
}

const anyBytesOf = (document: object) =>
  fc.oneof(mutated(document).map(bytesOf), fc.jsonValue().map(bytesOf), mutatedBytes(document));

function expectWholeNumber(value: number, least: number): void {
  expect(Number.isSafeInteger(value)).toBe(true);
  expect(value).toBeGreaterThanOrEqual(least);
}

function expectTime(value: number): void {
  expect(value).toBeGreaterThanOrEqual(0);
  expect(value).toBeLessThanOrEqual(LONGEST_TIMER);
}

/** Fails if a record contains a value that is impossible for a back end. */
function expectValid(record: BackEndRecord): void {
  for (const text of [record.service, record.zone]) expect(text).toMatch(/./s);
  expect(record.address).toMatch(/^[^\s:/]+:[0-9]{1,5}$/);
  expectWholeNumber(record.slots, 1);
  expect(typeof record.leaving).toBe('boolean');
  if (record.start !== undefined) expectWholeNumber(record.start, 0);
  if (record.layers === undefined) return;
  expectWholeNumber(record.layers.from, 0);
  expectWholeNumber(record.layers.end, record.layers.from + 1);
  expectWholeNumber(record.layers.version, 0);
}

/** Fails if a configuration contains an unusable value. */
function expectUsable(configuration: FleetConfiguration): void {
  const { headerBytes, bodyBytes, headerTimeout, idleTimeout } = configuration.limits;
  for (const bytes of [headerBytes, bodyBytes]) expect(bytes).toBeGreaterThan(0);
  for (const time of [headerTimeout, idleTimeout]) expectTime(time);
  for (const route of configuration.routes) {
    for (const time of [route.timeout, route.objective, route.longestPause, route.patience]) expectTime(time);
    expect(route.priority).toBeGreaterThanOrEqual(0);
    expectWholeNumber(route.maxAttempts, 1);
    for (const fraction of [0, 0.5, 0.999]) expect(targetService(route, fraction)).toMatch(/./s);
  }
  for (const { maxConnections, engine } of configuration.services) {
    expectWholeNumber(maxConnections, 0);
    if (engine === undefined) continue;
    expectWholeNumber(engine.slots, 1);
    for (const figure of [engine.layers, engine.pieceCount, engine.pieceBytes]) expectWholeNumber(figure, 0);
    for (const figure of [engine.tokenTime, engine.readTokensPerSecond])
      expect(Number.isFinite(figure) && figure >= 0).toBe(true);
  }
  for (const { keys } of configuration.tenants ?? []) for (const key of keys) expect(key).not.toBe('');
  const table = new RouteTable(configuration);
  table.match('one.example', '/one/x');
  expect(table.tenantOf('')).toBeUndefined();
  expect(Number.isNaN(table.rankOf(1))).toBe(false);
}

/** Fails if a fault is too long for a log line. */
function expectReportable({ kind, reason }: { kind: string; reason: string }): void {
  expect(['unreadable', 'missing', 'type', 'value']).toContain(kind);
  expect(reason.length).toBeLessThanOrEqual(200);
}

describe('generated input', () => {
  it('is decoded to a valid back end or rejected', () => {
    fc.assert(
      fc.property(anyBytesOf(workerRow({ born: 1_764_730_000_000 })), (bytes) => {
        const read = platformRecords.backEnd(row('i', bytes));
        if (read.ok) expectValid(read.value);
        else expectReportable(read.error);
      }),
      RUNS,
    );
  });

  it('is decoded to a usable configuration or rejected', () => {
    fc.assert(
      fc.property(anyBytesOf(configurationDocument()), (bytes) => {
        const read = platformRecords.configuration(bytes);
        if (!read.ok) return expectReportable(read.error);
        expectUsable(read.value.configuration);
        for (const fault of read.value.skippedEntries ?? []) expectReportable(fault);
      }),
      RUNS,
    );
  });

  it('is decoded to a valid named version or rejected', () => {
    fc.assert(
      fc.property(anyBytesOf({ model: 'm', version: 2 }), (bytes) => {
        const read = platformRecords.operatorRecord({ ...row('version/m', bytes), table: 'op' });
        if (read?.ok !== true) return expectReportable(read!.error);
        if (read.value.type !== 'namedVersion') throw new Error('a version was read as something else');
        expectWholeNumber(read.value.version, 1);
        expect(read.value.model).not.toBe('');
      }),
      RUNS,
    );
  });

  it('does not affect valid rows beside it', () => {
    fc.assert(
      fc.property(fc.array(anyBytesOf(workerRow()), { maxLength: 8 }), (bad) => {
        const rows = bad.flatMap((bytes, index) => [
          row(`bad-${index}`, bytes, 2 * index + 1),
          row(`good-${index}`, bytesOf(workerRow()), 2 * index + 2),
        ]);
        const list = new BackEndList();
        for (const one of rows) {
          const read = platformRecords.backEnd(one);
          if (read.ok) list.apply([{ type: 'changed', record: read.value }], one.revision);
        }
        for (const index of bad.keys()) {
          const record = list.records.get(`good-${index}`);
          expect(record).toMatchObject({ service: 'engines', address: '10.0.0.1:8080', slots: 16 });
        }
      }),
      { ...RUNS, numRuns: 300 },
    );
  });

  it('is ignored in unknown fields', () => {
    const known = new Set(Object.keys(workerRow({ born: 0 })));
    const news = fc.dictionary(
      fc.string({ maxLength: 12 }).filter((name) => !known.has(name) && name !== '__proto__'),
      fc.jsonValue(),
    );
    const plain = platformRecords.backEnd(row('i', bytesOf(workerRow())));
    fc.assert(
      fc.property(news, (fields) => {
        expect(platformRecords.backEnd(row('i', bytesOf(workerRow(fields))))).toEqual(plain);
      }),
      { ...RUNS, numRuns: 500 },
    );
  });
});

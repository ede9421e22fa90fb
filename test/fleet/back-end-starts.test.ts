/** Back ends that restart under the same id: the newer start is kept, in whatever order records and reports arrive. */
import { describe, expect, it } from 'vitest';
import { BackEndSet } from '../../src/fleet/back-end-identity.js';
import { BackEndList } from '../../src/fleet/back-end-list.js';
import { RECORDS_TO_CONFIRM } from '../../src/fleet/back-end-starts.js';
import type { BackEndRecord } from '../../src/protocol/back-end-list-state.js';

const LAYERS = { from: 0, end: 4, version: 3 };

function record(
  start: number | undefined,
  revision: number,
  changes: Partial<BackEndRecord> = {},
): BackEndRecord {
  return {
    id: 'one',
    start,
    service: 's',
    address: '10.0.0.1:1',
    zone: 'z',
    slots: 4,
    leaving: false,
    layers: undefined,
    revision,
    ...changes,
  };
}

/** A list of back ends that applies one record at a time. */
class RecordByRecordList extends BackEndList {
  read(start: number | undefined, revision: number, changes: Partial<BackEndRecord> = {}): boolean {
    return this.apply([{ type: 'changed', record: record(start, revision, changes) }], revision).length > 0;
  }

  get current(): BackEndRecord | undefined {
    return this.records.get('one');
  }
}

describe('a back end that restarts under the same id', () => {
  it('is listed with its newer start, and a delayed record of the former start changes nothing', () => {
    const list = new RecordByRecordList();
    list.read(100, 1, { layers: LAYERS });
    expect(list.read(200, 2)).toBe(true);
    expect(list.read(100, 3, { layers: LAYERS })).toBe(false);
    expect(list.current).toMatchObject({ start: 200, layers: undefined, revision: 2 });
  });

  it('is listed with a start that it reports before the store contains it, and without weights', () => {
    const list = new RecordByRecordList();
    list.read(100, 1, { layers: LAYERS, leaving: true });
    expect(list.applyReportedStart({ id: 'one', start: 200 })).toHaveLength(1);
    expect(list.current).toMatchObject({ start: 200, layers: undefined, leaving: false });
    expect(list.read(100, 2, { layers: LAYERS })).toBe(false);
    expect(list.current).toMatchObject({ start: 200, layers: undefined });
    expect(list.read(200, 3, { layers: LAYERS })).toBe(true);
  });

  it('ignores an older start in a delayed report', () => {
    const list = new RecordByRecordList();
    list.read(200, 1, { layers: LAYERS });
    expect(list.applyReportedStart({ id: 'one', start: 100 })).toEqual([]);
    list.read(300, 2);
    expect(list.applyReportedStart({ id: 'one', start: 200 })).toEqual([]);
    expect(list.current?.start).toBe(300);
  });

  it('follows the order of the store after its clock stepped back', () => {
    const list = new RecordByRecordList();
    list.read(200, 1, { layers: LAYERS });
    expect(list.read(150, 2)).toBe(true);
    expect(list.applyReportedStart({ id: 'one', start: 200 })).toEqual([]);
    expect(list.current).toMatchObject({ start: 150, layers: undefined });
  });

  it('follows a report that names the preceding start after its clock stepped back', () => {
    const list = new RecordByRecordList();
    list.read(200, 1, { layers: LAYERS });
    expect(list.applyReportedStart({ id: 'one', start: 150 }, 200)).toHaveLength(1);
    expect(list.current).toMatchObject({ start: 150, layers: undefined });
    // A delayed report: another start has already replaced its predecessor.
    list.read(300, 2);
    expect(list.applyReportedStart({ id: 'one', start: 150 }, 200)).toEqual([]);
    expect(list.current?.start).toBe(300);
  });

  it('is not excluded forever by a delayed record of an older start or by a delayed report', () => {
    const late = new RecordByRecordList();
    late.read(200, 1);
    // This record cannot be recognised as older, as the clock may have stepped back.
    late.read(100, 2);
    expect(late.read(200, 3)).toBe(true);
    expect(late.current?.start).toBe(200);

    const corrected = new RecordByRecordList();
    corrected.read(50, 1);
    corrected.applyReportedStart({ id: 'one', start: 100 });
    for (let entry = 0; entry < RECORDS_TO_CONFIRM; entry++) corrected.read(50, 2 + entry);
    expect(corrected.current?.start).toBe(50);
  });

  it('keeps a reported start when a record of an intermediate start arrives later', () => {
    const list = new RecordByRecordList();
    list.read(100, 1);
    list.applyReportedStart({ id: 'one', start: 300 });
    expect(list.read(200, 2)).toBe(false);
    expect(list.current?.start).toBe(300);
  });

  it('counts each record of a former start once, however often it is read', () => {
    const list = new RecordByRecordList();
    list.read(100, 1);
    list.applyReportedStart({ id: 'one', start: 200 });
    for (let repetition = 0; repetition < 9; repetition++) list.read(100, 2);
    expect(list.current?.start).toBe(200);
  });

  it('keeps its former starts after its record was removed', () => {
    const list = new RecordByRecordList();
    list.read(100, 1);
    list.read(200, 2);
    list.apply([{ type: 'gone', id: 'one', revision: 3 }], 3);
    expect(list.read(100, 4)).toBe(false);
    expect(list.read(200, 5)).toBe(true);
  });

  it('is treated as unchanged if no start is given', () => {
    const list = new RecordByRecordList();
    list.read(undefined, 1, { layers: LAYERS });
    expect(list.read(undefined, 2, { layers: LAYERS })).toBe(true);
    expect(list.applyReportedStart({ id: 'one', start: undefined })).toEqual([]);
    list.applyReportedStart({ id: 'one', start: 100 });
    expect(list.current).toMatchObject({ start: 100, layers: LAYERS });
    list.read(undefined, 3, { layers: LAYERS });
    expect(list.current).toMatchObject({ start: 100, layers: LAYERS, revision: 3 });
  });
});

it('a set of back ends contains only the added start of an id', () => {
  const tried = new BackEndSet();
  tried.add({ id: 'one', start: 100 });
  tried.add({ id: 'two' });
  expect(tried.has({ id: 'one', start: 100 })).toBe(true);
  expect(tried.has({ id: 'one', start: 200 })).toBe(false);
  expect(tried.has({ id: 'two' })).toBe(true);
  expect(tried.has({ id: 'three' })).toBe(false);
  tried.delete({ id: 'one', start: 200 });
  expect(tried.has({ id: 'one', start: 100 })).toBe(true);
  tried.delete({ id: 'one', start: 100 });
  expect(tried.has({ id: 'one', start: 100 })).toBe(false);
});

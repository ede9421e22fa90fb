/** A back end that has stated that it is leaving stays so until it starts again, whatever the list says. */
import { beforeEach, expect, it } from 'vitest';
import { BackEndList } from '../../src/fleet/back-end-list.js';
import type { BackEndRecord } from '../../src/protocol/back-end-list-state.js';

let list: BackEndList;

const ONE = { id: 'one', start: 100 };

function record(revision: number, changes: Partial<BackEndRecord> = {}): BackEndRecord {
  return {
    ...ONE,
    service: 's',
    address: '127.0.0.1:1',
    zone: 'z',
    slots: 4,
    leaving: false,
    layers: undefined,
    revision,
    ...changes,
  };
}

function write(revision: number, changes: Partial<BackEndRecord> = {}): void {
  list.apply([{ type: 'changed', record: record(revision, changes) }], revision);
}

const remove = (revision: number) => list.apply([{ type: 'gone', id: 'one', revision }], revision);
const isListedAsLeaving = () => list.records.get('one')?.leaving;

beforeEach(() => {
  list = new BackEndList();
  write(1);
});

it('a statement changes the record once', () => {
  expect(list.applyLeaving(ONE)).toEqual([{ type: 'changed', record: record(1, { leaving: true }) }]);
  expect(list.applyLeaving(ONE)).toEqual([]);
});

it('outlasts later records of the same start, and the removal and return of the record', () => {
  list.applyLeaving(ONE);
  write(2);
  expect(isListedAsLeaving()).toBe(true);
  remove(3);
  expect(list.isLeaving(ONE)).toBe(true);
  write(4);
  expect(isListedAsLeaving()).toBe(true);
  list.replace({ revision: 5, records: [record(5)] });
  expect(isListedAsLeaving()).toBe(true);
});

it('is kept for a back end that is not listed', () => {
  remove(2);
  expect(list.applyLeaving(ONE)).toEqual([]);
  write(3);
  expect(isListedAsLeaving()).toBe(true);
});

it('ends with a listed or reported start', () => {
  list.applyLeaving(ONE);
  write(2, { start: 200 });
  expect(isListedAsLeaving()).toBe(false);
  list.applyLeaving({ id: 'one', start: 200 });
  list.applyReportedStart({ id: 'one', start: 300 });
  expect(isListedAsLeaving()).toBe(false);
  write(3, { start: 300 });
  expect(isListedAsLeaving()).toBe(false);
});

it('of a former start does not apply to the current one, and the former one stays leaving', () => {
  list.applyLeaving(ONE);
  write(2, { start: 200 });
  expect(list.applyLeaving(ONE)).toEqual([]);
  expect(isListedAsLeaving()).toBe(false);
  expect(list.isLeaving(ONE)).toBe(true);
  expect(list.isLeaving({ id: 'one', start: 200 })).toBe(false);
});

it('before the start is known applies to the first one that becomes known, and not to the next', () => {
  list = new BackEndList();
  write(1, { start: undefined });
  list.applyLeaving({ id: 'one' });
  write(2);
  expect(isListedAsLeaving()).toBe(true);
  write(3, { start: 200 });
  expect(isListedAsLeaving()).toBe(false);
});

it('a back end whose record said that it is leaving is still leaving after its removal', () => {
  write(2, { leaving: true });
  remove(3);
  expect(list.isLeaving(ONE)).toBe(true);
});

it('a record that is no longer marked as leaving counts if the back end has not stated it itself', () => {
  write(2, { leaving: true });
  write(3);
  expect(isListedAsLeaving()).toBe(false);
  expect(list.isLeaving(ONE)).toBe(false);
});

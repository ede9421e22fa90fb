/** Events are found however the bytes of their stream are split, and each byte is copied and searched a bounded number of times. */
import fc from 'fast-check';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { EventRelay } from '../../src/forwarding/event-relay.js';

afterEach(() => vi.restoreAllMocks());

/** Splits `bytes` at the given offsets. */
function split(bytes: Buffer, offsets: readonly number[]): Buffer[] {
  const ends = [...new Set(offsets.map((offset) => offset % (bytes.byteLength + 1)))].sort((a, b) => a - b);
  return [...ends, bytes.byteLength].map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end));
}

/** Pushes parts and returns what was passed on, with the id after each part. */
function relay(parts: readonly Buffer[]) {
  const events = new EventRelay(undefined);
  const passed: Buffer[] = [];
  for (const part of parts) {
    const whole = events.push(part);
    if (whole !== undefined) passed.push(whole);
  }
  const { isInsideEvent, lastEventId, hasEvents } = events;
  return {
    passed: Buffer.concat(passed).toString(),
    rest: events.end().toString(),
    isInsideEvent,
    lastEventId,
    hasEvents,
  };
}

/** Empty lines after an event are passed on with it or before the next one, depending on where the stream is split. */
function comparable({ passed, rest, ...others }: ReturnType<typeof relay>) {
  return { ...others, passed: passed.trimEnd(), rest: rest.trimStart() };
}

const line = fc.constantFrom(
  'id: 1',
  'id:22',
  'data: a',
  'data: id: 9',
  ': comment',
  '',
  'event: x',
  'idle: 3',
  'id',
  'id: 4\r5',
);
const text = fc
  .array(fc.tuple(line, fc.constantFrom('\n', '\r\n')), { maxLength: 30 })
  .map((lines) => lines.map(([content, end]) => content + end).join(''));

describe('EventRelay', () => {
  it('passes on the same events and the same last id however the stream is split', () => {
    fc.assert(
      fc.property(text, fc.array(fc.nat(400)), fc.string({ maxLength: 5 }), (lines, offsets, tail) => {
        const bytes = Buffer.from(lines + tail);
        const inParts = relay(split(bytes, offsets));
        expect(comparable(inParts)).toEqual(comparable(relay([bytes])));
        expect(comparable(inParts)).toEqual(comparable(relay([...bytes].map((byte) => Buffer.from([byte])))));
        expect(inParts.passed + inParts.rest).toBe(bytes.toString());
      }),
      { seed: 68, numRuns: 1_000 },
    );
  });

  it('passes on whole events and keeps the rest', () => {
    expect(relay([Buffer.from('id: 1\ndata: a\n\nid: 2\nda'), Buffer.from('ta: b\n\n: c')])).toEqual({
      passed: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
      rest: ': c',
      isInsideEvent: true,
      lastEventId: '2',
      hasEvents: true,
    });
  });

  it('takes no id with a line end inside, which could not be sent in a header', () => {
    expect(relay([Buffer.from('id: 1\n\nid: 2\r3\n\n')]).lastEventId).toBe('1');
    expect(relay([Buffer.from('id: 2\r3\n\n')]).lastEventId).toBe(undefined);
    expect(relay([Buffer.from('\nid: 2\r3\n\n')]).lastEventId).toBe(undefined);
    expect(relay([Buffer.from('id: 1\n\n'), Buffer.from('id: 2\r3\n\n')]).lastEventId).toBe('1');
  });

  // Guards against work that grows with the square of the bytes of an event that does not end.
  it.each([
    { what: 'small parts of a line', part: 'abcd' },
    { what: 'lines of a comment', part: ': abcdefgh\n' },
    { what: 'large parts', part: 'x'.repeat(60_000) },
  ])('copies each byte a bounded number of times while an event does not end: $what', ({ part }) => {
    let copied = 0;
    const { concat } = Buffer;
    const { copy } = Buffer.prototype;
    vi.spyOn(Buffer, 'concat').mockImplementation((parts, length) => {
      copied += parts.reduce((sum, { byteLength }) => sum + byteLength, 0);
      return concat(parts, length);
    });
    vi.spyOn(Buffer.prototype, 'copy').mockImplementation(function (this: Buffer, ...words) {
      const count = copy.apply(this, words);
      copied += count;
      return count;
    });
    const bytes = Buffer.from(part);
    const count = Math.floor(200_000 / bytes.byteLength);
    const events = new EventRelay(undefined);
    for (let index = 0; index < count; index++) expect(events.push(bytes)).toBeUndefined();
    expect(events.push(Buffer.from('\n\n'))?.byteLength).toBeGreaterThan(count * bytes.byteLength);
    expect(copied).toBeLessThan(4 * count * bytes.byteLength);
  });
});

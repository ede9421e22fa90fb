import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { HybridClock } from '../../src/model/hybrid-clock.js';
import { mergeTimelines, Timeline } from '../../src/observability/timeline.js';
import { decode, encode } from '../../src/protocol/codec.js';
import { MESSAGE_FIELDS, type Message } from '../../src/protocol/messages.js';
import type { EntryReport } from '../../src/protocol/reports.js';
import { peer } from '../support.js';

const MESSAGES: Message[] = [
  { type: 'hello', role: 'agent', peer: peer('a') },
  { type: 'greet', transfer: 2 ** 47, have: new Uint8Array([1, 2]) },
  { type: 'announce', transfer: 1, chunks: [1, 2, 500], queueLength: 3 },
  { type: 'request', transfer: 1, chunk: 2, have: 3, urgent: true },
  { type: 'chunk', transfer: 1, chunk: 2, queueLength: 0, data: new Uint8Array(5) },
  { type: 'grant', transfer: 1, grant: { grantId: 1, chunk: 2, source: { type: 'peer', peer: peer('b') } } },
  { type: 'grantEnded', transfer: 1, grantId: 1, chunk: undefined, succeeded: false },
  { type: 'ping' },
];

const REPORT: EntryReport = {
  id: 'a',
  address: 'a',
  callerAddress: 'a',
  zone: 'zone-a',
  region: 'region-a',
  linkRate: 0,
  isReady: true,
  configurationRevision: 1,
  backEndsRevision: 1,
  storeTime: 1,
  versions: [],
  entriesKnown: 1,
  loads: [],
  held: [],
  engines: [],
};

describe('the codec', () => {
  it.each(MESSAGES.map((message) => [message.type, message] as const))(
    'decodes %s to what was encoded',
    (_, message) => {
      const decoded = decode(encode(message, 42));
      expect(decoded).toMatchObject({ ok: true, messages: [{ stamp: 42 }] });
      const back = decoded.ok ? (decoded.messages[0].message as unknown as Record<string, unknown>) : {};
      for (const [name, value] of Object.entries(message)) {
        if (value instanceof Uint8Array)
          expect(Buffer.from(back[name] as Uint8Array)).toEqual(Buffer.from(value));
        else expect(back[name]).toEqual(value);
      }
    },
  );

  it('decodes a report with and without evacuations, which earlier releases lack', () => {
    const evacuations = [{ zone: 'zone-a', revision: 2 ** 42 + 7, isEvacuated: true }];
    for (const report of [REPORT, { ...REPORT, evacuations }]) {
      const decoded = decode(encode({ type: 'entryReport', report }, 1));
      expect(decoded).toMatchObject({ ok: true, messages: [{ message: { report } }] });
      // The field names are sent, so that releases that know other fields read the rest.
      expect(encode({ type: 'entryReport', report }, 1).includes('backEndsRevision')).toBe(true);
    }
  });

  it('decodes several messages of one frame in their order', () => {
    const frame = Buffer.concat(MESSAGES.map((message, index) => encode(message, index)));
    const decoded = decode(frame);
    expect(decoded).toMatchObject({ ok: true });
    const back = decoded.ok ? decoded.messages : [];
    expect(back.map(({ message }) => message.type)).toEqual(MESSAGES.map(({ type }) => type));
    expect(back.map(({ stamp }) => stamp)).toEqual(MESSAGES.map((_, index) => index));
  });

  it('rejects a frame with one malformed message', () => {
    const frame = Buffer.concat([encode({ type: 'ping' }, 1), Buffer.from([0x91, 0xcc, 0xff])]);
    expect(decode(frame)).toMatchObject({ ok: false });
  });

  it('encodes a chunk request, one of the most frequent messages, in 32 bytes or fewer', () => {
    const request: Message = { type: 'request', transfer: 2 ** 47, chunk: 500, have: 400, urgent: false };
    expect(encode(request, 1.8e15).byteLength).toBeLessThanOrEqual(32);
  });

  it('decodes arbitrary bytes without throwing', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
        const decoded = decode(bytes);
        const types = decoded.ok ? decoded.messages.map(({ message }) => message.type) : [];
        for (const type of types) expect(Object.keys(MESSAGE_FIELDS)).toContain(type);
        if (!decoded.ok) expect(decoded.error.type).toBe('malformedMessage');
      }),
      { seed: 1, numRuns: 2_000 },
    );
  });
});

describe('the timeline', () => {
  it('orders an effect after its cause even if the clocks disagree', () => {
    const ahead = new HybridClock(() => 2_000);
    const behind = new HybridClock(() => 1_000);
    const first = new Timeline('ahead', ahead);
    const second = new Timeline('behind', behind);
    first.record({ type: 'processStarted', role: 'cause' });
    behind.observe(ahead.next());
    second.record({ type: 'processStarted', role: 'effect' });
    const merged = mergeTimelines([second.entries(), first.entries()]);
    expect(merged.map(({ event }) => 'role' in event && event.role)).toEqual(['cause', 'effect']);
  });

  it('keeps only the most recent events', () => {
    const timeline = new Timeline('a', new HybridClock(), 3);
    for (let epoch = 0; epoch < 10; epoch++) timeline.record({ type: 'leaseLost', duty: 'd', epoch });
    expect(timeline.entries().map(({ event }) => 'epoch' in event && event.epoch)).toEqual([7, 8, 9]);
  });
});

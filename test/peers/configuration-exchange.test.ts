/** Tests how configurations travel between entries: as differences, and whole where those do not fit. */
import { deflateRawSync } from 'node:zlib';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { HybridClock } from '../../src/model/hybrid-clock.js';
import { silentLog } from '../../src/observability/log.js';
import { ConfigurationExchange } from '../../src/peers/configuration-exchange.js';
import { decode, encode } from '../../src/protocol/codec.js';
import { type ConfigurationUpdate, configurationUpdate } from '../../src/protocol/configuration-update.js';
import type { PeerConnection } from '../../src/protocol/connection.js';
import type { Message } from '../../src/protocol/messages.js';
import type { EntryReport } from '../../src/protocol/reports.js';
import { textRecordDecoder } from '../fleet/text-records.js';

const ROUTES = 2_000;
/** Upper bound of an update that changes one route, in bytes. */
const SMALL = 300;

function documentOf(revision: number, changed = 0): Buffer {
  const routes = Array.from(
    { length: ROUTES },
    (_, index) => `{"host":"${index < changed ? 'new' : index}.example"}`,
  );
  return Buffer.from(`${revision}\n${routes.join('\n')}`);
}

class Entry {
  readonly fleet = new FleetView();
  readonly exchange = new ConfigurationExchange({
    fleet: this.fleet,
    decoder: textRecordDecoder,
    zone: 'zone-a',
    log: silentLog,
  });
  readonly sent: Message[] = [];
  /** The connection to another entry. */
  readonly connection = {
    open: true,
    send: (message: Message) => this.sent.push(message) > 0,
  } as unknown as PeerConnection;

  constructor(revision: number) {
    if (revision > 0) this.take(documentOf(revision));
  }

  take(document: Buffer): void {
    const read = textRecordDecoder.configuration(document);
    if (read.ok) this.fleet.applyConfiguration(read.value);
  }

  /** Applies an update as it arrives over the network; returns whether it was newer. */
  receive(update: ConfigurationUpdate): boolean {
    const read = decode(encode({ type: 'configurationUpdate', update }, new HybridClock().next()));
    const { message } = read.ok ? read.messages[0] : { message: undefined };
    if (message?.type !== 'configurationUpdate') throw new Error('not decoded');
    return this.exchange.applyUpdate(message.update, { address: 'peer', connection: this.connection });
  }

  answerTo(base: number): ConfigurationUpdate | undefined {
    this.exchange.sendUpdate(this.connection, base);
    const message = this.sent.pop();
    return message?.type === 'configurationUpdate' ? message.update : undefined;
  }
}

/** An entry of the own zone is asked after this time, in milliseconds. */
const OWN_ZONE_DELAY = 200;

/** Makes an entry hear of a revision twice, with the time between in which it would arrive by itself. */
function hear(entry: Entry, configurationRevision: number): void {
  const now = Math.ceil(performance.now());
  const report = { zone: 'zone-a', configurationRevision } as EntryReport;
  for (const at of [now, now + OWN_ZONE_DELAY]) {
    vi.spyOn(performance, 'now').mockReturnValue(at);
    entry.exchange.requestNewer(entry.connection, report, { place: 0, takesUpdates: true });
  }
}

afterEach(() => {
  vi.restoreAllMocks();
});

const rest = (revision: number) => ({ revision, document: documentOf(revision, 1) });

describe('a configuration between entries', () => {
  it('is sent as what has changed', () => {
    const [sender, receiver] = [new Entry(1), new Entry(1)];
    const update = sender.exchange.updateTo(rest(2));
    expect(update.body.byteLength).toBeLessThan(SMALL);
    expect(receiver.receive(update)).toBe(true);
    expect(receiver.fleet.document).toEqual(rest(2).document);
    expect(receiver.fleet.isConfigurationBehind).toBe(false);
  });

  it('is sent as what has changed also by an entry that has it from elsewhere', () => {
    const [sender, receiver] = [new Entry(1), new Entry(1)];
    sender.take(rest(2).document);
    const update = sender.exchange.updateTo(rest(2));
    expect(update.body.byteLength).toBeLessThan(SMALL);
    expect(receiver.receive(update)).toBe(true);
  });

  it('is requested whole from the sender where the receiver lacks the base', () => {
    const receiver = new Entry(1);
    expect(receiver.receive(new Entry(3).exchange.updateTo(rest(4)))).toBe(false);
    expect(receiver.sent).toEqual([{ type: 'configurationWanted', base: 0 }]);
    expect(receiver.fleet.configurationRevision).toBe(1);
    expect(receiver.fleet.isConfigurationBehind).toBe(true);
  });

  it('is requested whole once, although several differences do not fit', () => {
    const receiver = new Entry(1);
    for (const revision of [4, 5, 6]) receiver.receive(new Entry(3).exchange.updateTo(rest(revision)));
    expect(receiver.sent).toEqual([{ type: 'configurationWanted', base: 0 }]);
    expect(receiver.receive(configurationUpdate(rest(6), undefined))).toBe(true);
    expect(receiver.fleet.configurationRevision).toBe(6);
  });

  it('is requested whole if the difference that was requested does not fit', () => {
    const receiver = new Entry(0);
    receiver.take(documentOf(1, 7));
    hear(receiver, 2);
    expect(receiver.sent.splice(0)).toEqual([{ type: 'configurationWanted', base: 1 }]);
    receiver.receive(new Entry(1).exchange.updateTo(rest(2)));
    expect(receiver.sent).toEqual([{ type: 'configurationWanted', base: 0 }]);
  });

  it('is requested in time although the answer before it came after the same configuration from elsewhere', () => {
    const receiver = new Entry(1);
    hear(receiver, 2);
    expect(receiver.sent.splice(0)).toEqual([{ type: 'configurationWanted', base: 1 }]);
    receiver.take(rest(2).document);
    expect(receiver.receive(new Entry(1).exchange.updateTo(rest(2)))).toBe(false);
    hear(receiver, 3);
    expect(receiver.sent).toEqual([{ type: 'configurationWanted', base: 2 }]);
  });

  it('is answered as a difference from any of the latest, else whole, and not at all if nothing is newer', () => {
    const sender = new Entry(1);
    for (const revision of [2, 3, 4]) sender.take(rest(revision).document);
    for (const base of [1, 2, 3]) {
      const receiver = new Entry(base);
      if (base > 1) receiver.take(rest(base).document);
      const update = sender.answerTo(base)!;
      expect(update.base).toBe(base);
    }
    expect(sender.answerTo(9)).toBeUndefined();
    sender.take(rest(5).document);
    const whole = sender.answerTo(1)!;
    expect(whole.base).toBe(0);
    const receiver = new Entry(0);
    expect(receiver.receive(whole)).toBe(true);
    expect(receiver.fleet.configurationRevision).toBe(5);
  });

  it('is never applied if it is cut, changed or not from the base that it names', () => {
    const update = new Entry(1).exchange.updateTo(rest(2));
    const body = Buffer.from(update.body);
    const odd: ConfigurationUpdate[] = [
      ...Array.from({ length: body.byteLength }, (_, length) => ({
        ...update,
        body: body.subarray(0, length),
      })),
      ...Array.from({ length: body.byteLength }, (_, index) => {
        const changed = Buffer.from(body);
        changed[index] ^= 0x55;
        return { ...update, body: changed };
      }),
      { ...update, digest: Buffer.alloc(32) },
      { ...update, base: 0 },
      { ...update, body: deflateRawSync(Buffer.alloc(100_000_000)) },
    ];
    for (const one of odd) {
      const receiver = new Entry(1);
      const isNewer = receiver.receive(one);
      // Bits after the end of the compressed data change nothing.
      if (isNewer) expect(receiver.fleet.document).toEqual(rest(2).document);
      else expect(receiver.fleet.configurationRevision).toBe(1);
    }
  });

  it('of another document with the revision of the base is requested whole', () => {
    const receiver = new Entry(0);
    receiver.take(documentOf(1, 7));
    expect(receiver.receive(new Entry(1).exchange.updateTo(rest(2)))).toBe(false);
    expect(receiver.sent).toEqual([{ type: 'configurationWanted', base: 0 }]);
  });

  it('is not requested again if the whole document is unusable', () => {
    const receiver = new Entry(1);
    const whole = configurationUpdate(rest(2), undefined);
    expect(receiver.receive({ ...whole, digest: Buffer.alloc(32) })).toBe(false);
    expect(receiver.sent).toEqual([]);
  });
});

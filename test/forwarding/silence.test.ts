/** Tests whether a missing answer is attributed to its back end or to its connection. */
import { describe, expect, it, vi } from 'vitest';
import { BackEndHealth } from '../../src/forwarding/back-end-health.js';
import {
  type BackEndRow,
  BackEndTable,
  isOvertaken,
  noteOvertaking,
} from '../../src/forwarding/back-end-table.js';
import { type AwaitedAnswer, silenceOf } from '../../src/forwarding/silence.js';

const SENT = 10_000;
/** Twice the objective of the route. */
const LIMIT = 800;

function awaited(changes: Partial<AwaitedAnswer> = {}): AwaitedAnswer {
  return {
    route: { objective: 400, longestPause: 300 },
    progressAt: SENT,
    isStreaming: false,
    isOnSilentConnection: true,
    isOvertaken: false,
    backEndProgressAt: SENT,
    usualFirstAnswer: 0,
    ...changes,
  };
}

describe('a missing answer', () => {
  it('is not silence before the limit', () => {
    expect(silenceOf(awaited({ isOvertaken: true }), SENT + LIMIT)).toBe('none');
  });

  it('is attributed to the back end or the kept connection if nothing is received from either', () => {
    expect(silenceOf(awaited(), SENT + LIMIT + 1)).toBe('backEndOrConnection');
    expect(silenceOf(awaited({ isOnSilentConnection: false }), SENT + LIMIT + 1)).toBe('backEnd');
  });

  it('is attributed to the connection if a request sent later has been answered', () => {
    const busy = { backEndProgressAt: SENT + LIMIT };
    expect(silenceOf(awaited({ ...busy, isOvertaken: true }), SENT + LIMIT + 1)).toBe('connection');
    expect(silenceOf(awaited(busy), SENT + LIMIT + 1)).toBe('none');
    const onNewOne = awaited({ ...busy, isOvertaken: true, isOnSilentConnection: false });
    expect(silenceOf(onNewOne, SENT + LIMIT + 1)).toBe('none');
  });

  it('is attributed to the connection after several times the usual time to a first answer of a working back end', () => {
    const busy = awaited({ backEndProgressAt: SENT + 1_900, usualFirstAnswer: 450 });
    expect(silenceOf(busy, SENT + 1_750)).toBe('none');
    expect(silenceOf(busy, SENT + 1_850)).toBe('connection');
    expect(silenceOf({ ...busy, usualFirstAnswer: 100 }, SENT + 1_150)).toBe('none');
    expect(silenceOf({ ...busy, usualFirstAnswer: 100 }, SENT + 1_250)).toBe('connection');
  });

  it('is attributed to the back end if a stream has begun', () => {
    const streaming = awaited({
      isStreaming: true,
      isOnSilentConnection: false,
      backEndProgressAt: SENT + 600,
    });
    expect(silenceOf(streaming, SENT + 600)).toBe('none');
    expect(silenceOf(streaming, SENT + 601)).toBe('backEnd');
  });
});

describe('a request is overtaken', () => {
  it('by an answered request that was sent later and is not more urgent', () => {
    const row = { answeredSends: new Map() } as BackEndRow;
    noteOvertaking(row, 5, 200);
    noteOvertaking(row, 5, 100);
    expect(isOvertaken(row, 5, 150)).toBe(true);
    expect(isOvertaken(row, 4, 150)).toBe(true);
    expect(isOvertaken(row, 6, 150)).toBe(false);
    expect(isOvertaken(row, 5, 200)).toBe(false);
  });
});

describe('a back end in doubt', () => {
  it('is probed by a single request of any kind, and takes requests again after an answer', () => {
    const health = new BackEndHealth();
    health.note('silentConnection', 0, 0);
    expect(health.admits(1, false)).toBe(true);
    health.noteSent();
    expect(health.admits(1, true)).toBe(false);
    health.noteAnswering();
    expect(health.admits(1, false)).toBe(true);
  });

  it('is suspended if the probe is not answered either', () => {
    const health = new BackEndHealth();
    health.note('silentConnection', 0, 0);
    health.noteSent();
    health.note('silent', 400, 0);
    expect(health.admits(401, true)).toBe(false);
  });

  it('is probed again if the first probe gives no result', () => {
    const health = new BackEndHealth();
    health.note('silentConnection', 0, 0);
    health.noteSent();
    health.noteAbandoned();
    expect(health.admits(1, true)).toBe(true);
  });
});

describe('connections found silent', () => {
  const record = (id: string) => ({
    id,
    service: 's',
    address: '127.0.0.1:1',
    zone: 'z',
    slots: 1,
    leaving: false,
    layers: undefined,
    revision: 1,
  });

  it('at one back end do not affect others, but at two back ends affect all', () => {
    const table = new BackEndTable();
    table.apply(['one', 'two', 'three'].map((id) => ({ type: 'changed', record: record(id) })));
    const [one, two, three] = [...table.rows.values()];
    const closed = vi.spyOn(three.connections, 'closeIdleSince');
    table.noteSilentConnection(one, 100);
    table.noteSilentConnection(one, 110);
    expect(closed).not.toHaveBeenCalled();
    table.noteSilentConnection(two, 120);
    expect(closed).toHaveBeenCalledWith(120);
    expect(table.silentConnections).toBe(3);
  });
});

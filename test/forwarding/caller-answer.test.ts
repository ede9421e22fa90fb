/** A back end is read on while its caller reads slowly, so that it ends its work; beyond a bound it is paused until the caller reads. */
import { EventEmitter } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { expect, it } from 'vitest';
import type { Attempt } from '../../src/forwarding/attempt.js';
import type { AttemptAnswer } from '../../src/forwarding/attempt-answer.js';
import { CallerAnswer } from '../../src/forwarding/caller-answer.js';
import { UnreadAnswers } from '../../src/forwarding/unread-answers.js';
import { silentLog } from '../../src/observability/log.js';
import { Metrics } from '../../src/observability/metrics.js';
import { MAX_HELD_OF_ANSWER } from '../../src/systems/unread-budget.js';

const CHUNK = Buffer.alloc(16_384);

/** A response whose caller reads nothing. */
class UnreadResponse extends EventEmitter {
  headersSent = false;
  writableLength = 0;
  readonly socket = { bytesWritten: 0 };

  writeHead(): void {
    this.headersSent = true;
  }

  write(bytes: Buffer): boolean {
    this.writableLength += bytes.byteLength;
    return false;
  }
}

it('pauses the back end only beyond the bound of what is held of one answer', () => {
  const response = new UnreadResponse();
  const unread = new UnreadAnswers(silentLog, new Metrics('test'));
  const answer = new CallerAnswer({ headers: {} } as IncomingMessage, response as unknown as ServerResponse, {
    mustClose: () => false,
    unread,
  });
  const pauses: string[] = [];
  const attempt = { pause: () => pauses.push('paused'), resume: () => pauses.push('resumed') };
  const part = {
    head: { status: 200, rawHeaders: [], headers: {} },
    takeBuffered: () => CHUNK,
    lastEventId: '1',
    isEventStream: true,
    isDelimitedByClose: false,
  };
  const forward = () => answer.forward(part as unknown as AttemptAnswer, attempt as unknown as Attempt);
  while (response.writableLength < MAX_HELD_OF_ANSWER) forward();
  expect(pauses).toEqual([]);
  expect(answer.isBlocked).toBe(false);
  forward();
  expect(pauses).toEqual(['paused']);
  expect(answer.isBlocked).toBe(true);
  response.emit('drain');
  expect(pauses).toEqual(['paused', 'resumed']);
  expect(answer.isBlocked).toBe(false);
  unread.stop();
});

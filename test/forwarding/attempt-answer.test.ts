/** How much of an answer is buffered before it is forwarded to the caller. */
import { expect, it } from 'vitest';
import { AttemptAnswer } from '../../src/forwarding/attempt-answer.js';
import { EventBudget } from '../../src/systems/event-budget.js';
import { events } from './stand-in-back-end.js';

const LIMIT = 65_536;

function begun(headers: Record<string, string>): AttemptAnswer {
  const answer = new AttemptAnswer('2', new EventBudget());
  answer.begin({ status: 200, headers, rawHeaders: [] });
  return answer;
}

it('an answer that is no stream is buffered up to a limit, and forwarded without delay beyond it', () => {
  const answer = begun({});
  expect(answer.push(Buffer.alloc(LIMIT))).toBe(false);
  expect(answer.push(Buffer.alloc(1))).toBe(true);
  expect(answer.takeBuffered()?.byteLength).toBe(LIMIT + 1);
  expect(answer.push(Buffer.alloc(1))).toBe(true);
  expect(answer.takeBuffered()?.byteLength).toBe(1);
  expect(answer.takeBuffered()).toBeUndefined();
});

it('a stream is forwarded in whole events', () => {
  const answer = begun({ 'content-type': 'text/event-stream' });
  expect(answer.push(Buffer.from('id: 3\ndata: wo'))).toBe(false);
  expect(answer.lastEventId).toBe('2');
  expect(answer.push(Buffer.from('rd 3\n\nid: 4'))).toBe(true);
  expect(answer.takeBuffered()?.toString()).toBe(events(3, 3));
  expect(answer.lastEventId).toBe('3');
  answer.end();
  expect(answer.takeBuffered()?.toString()).toBe('id: 4');
});

/** Guards against an answer without a length that looks complete to its caller although its entry was killed in the middle. */
import { afterAll, afterEach, beforeAll, beforeEach, expect, it } from 'vitest';
import { exchangeBytes, looksComplete } from '../cut-answers.js';
import { events, type Script } from '../forwarding/stand-in-back-end.js';
import { until } from '../support.js';
import { EntryProcesses, HOST, waitUntilServing } from './entry-processes.js';

/** Time between two parts of an answer, in milliseconds. */
const INTERVAL = 40;
const PARTS = 40;
/** More than an entry holds back of an answer that is no stream. */
const PART_BYTES = 100_000;
/** Number of parts that the back end has sent when the entry is killed. */
const PARTS_BEFORE_KILL = 8;

const entries = new EntryProcesses(86);
let sent = 0;

/** Sends parts of an answer that ends with its connection. */
function unframed(type: string, partOf: (index: number) => string): Script {
  return (request, response) => {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, { 'attempt-id': String(request.headers['attempt-id']), 'content-type': type });
    const timer = setInterval(() => {
      response.write(partOf(++sent));
      if (sent === PARTS) response.end();
    }, INTERVAL);
    response.on('close', () => clearInterval(timer));
  };
}

const ANSWERS: Array<[name: string, path: string, script: Script]> = [
  ['a stream', '/flow/a', unframed('text/event-stream', (index) => events(index, index))],
  ['a plain answer', '/again/a', unframed('text/plain', () => 'x'.repeat(PART_BYTES))],
];

beforeAll(() => entries.build());
afterAll(() => entries.removeFolder());

beforeEach(async () => {
  sent = 0;
  await entries.start(() => {});
});
afterEach(() => entries.stop());

function requestOf(path: string): string {
  const head = [`GET ${path} HTTP/1.1`, `Host: ${HOST}`, 'Attempt-Id: 1', 'Connection: close'];
  return [...head, '', ''].join('\r\n');
}

it.each(ANSWERS)(
  '%s without a length does not look complete if its entry is killed',
  async (_name, path, script) => {
    const one = await entries.startEntry();
    await waitUntilServing(one);
    entries.backEnd.answer(script);
    const received = exchangeBytes(one.callers, requestOf(path));
    await until(() => sent === PARTS_BEFORE_KILL, 'some parts of the answer');
    one.child.kill('SIGKILL');
    const answer = await received;
    expect(answer.text).toMatch(/^HTTP\/1.1 200 /);
    expect(looksComplete(answer)).toBe(false);
  },
);

it.each(ANSWERS)(
  '%s without a length looks complete once its back end has closed in order',
  async (_name, path, script) => {
    const one = await entries.startEntry();
    await waitUntilServing(one);
    entries.backEnd.answer(script);
    const answer = await exchangeBytes(one.callers, requestOf(path));
    expect(sent).toBe(PARTS);
    expect(looksComplete(answer)).toBe(true);
  },
);

it('a caller that cannot be told the end of an answer is rejected, and its request does not run', async () => {
  const one = await entries.startEntry();
  await waitUntilServing(one);
  const { text } = await exchangeBytes(one.callers, requestOf('/again/a').replace('HTTP/1.1', 'HTTP/1.0'));
  expect(text).toMatch(/^HTTP\/1.1 505 /);
  expect(entries.backEnd.requests).toHaveLength(0);
});

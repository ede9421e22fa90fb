import { describe, expect, it } from 'vitest';
import { BoundedOutput } from '../../src/observability/bounded-output.js';
import { createLog } from '../../src/observability/log.js';

/** A stream whose reader may have stopped. */
class StubStream {
  readonly lines: string[] = [];
  stopped = false;
  writableLength = 0;

  write(text: string): void {
    if (this.stopped) this.writableLength += text.length;
    else this.lines.push(text);
  }
}

describe('bounded output', () => {
  it('limits the lines of a kind per second and reports how many it omitted', () => {
    const reader = new StubStream();
    let now = 0;
    const output = new BoundedOutput(reader, () => now);
    for (let count = 0; count < 100; count++) output.write('often', `line ${count}`);
    output.write('rare', 'one');
    const written = reader.lines.length;
    expect(written).toBeLessThan(60);
    now = 1_000;
    output.write('often', 'next');
    expect(JSON.parse(reader.lines[written])).toEqual({ message: 'lines left out', often: 101 - written });
  });

  it('buffers a bounded amount for a reader that has stopped', () => {
    const reader = new StubStream();
    reader.stopped = true;
    let now = 0;
    const output = new BoundedOutput(reader, () => now);
    for (let second = 0; second < 1_000; second++) {
      now = second * 1_000;
      for (let count = 0; count < 40; count++) output.write('often', 'x'.repeat(100));
    }
    expect(reader.writableLength).toBeLessThan(300_000);
  });
});

describe('a log', () => {
  it('writes one JSON line with level, process, message and fields', () => {
    const reader = new StubStream();
    createLog('entry-1', 'info', reader).info('sent', { request: 'r1', load: 3 });
    const line = JSON.parse(reader.lines[0]);
    expect(line).toMatchObject({
      level: 'INFO',
      process: 'entry-1',
      message: 'sent',
      request: 'r1',
      load: 3,
    });
    expect(Date.parse(line.time)).toBeGreaterThan(0);
  });
});

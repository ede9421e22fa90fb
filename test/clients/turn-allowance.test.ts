/** Guards against one connection that takes whole turns of the event loop, as its server sends faster than its bytes are parsed. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { limitTimePerTurn, PART_BYTES, TIME_PER_TURN } from '../../src/clients/turn-allowance.js';
import { until } from '../support.js';

const SENT = Buffer.alloc(20 * PART_BYTES + 77, 'abcdefg');

let server: Server;
let socket: Socket;

beforeEach(async () => {
  server = createServer((accepted) => accepted.end(SENT));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as { port: number };
  socket = connect(port, '127.0.0.1');
});

afterEach(() => {
  socket.destroy();
  server.close();
});

it.each([
  { what: 'slow', timePerPart: TIME_PER_TURN, partsPerTurn: 1 },
  { what: 'faster', timePerPart: TIME_PER_TURN / 4, partsPerTurn: 4 },
])(
  'parts that are $what to handle are bounded in each turn, and none is lost',
  async ({ timePerPart, partsPerTurn }) => {
    let time = 0;
    limitTimePerTurn(socket, () => time);
    const parts: Buffer[] = [];
    const perTurn: number[] = [];
    let inTurn = 0;
    let isEnded = false;
    socket.on('readable', () => {
      if (inTurn === 0)
        setImmediate(() => {
          perTurn.push(inTurn);
          inTurn = 0;
        });
      // As the client library does: all that there is.
      for (let part = socket.read() as Buffer | null; part !== null; part = socket.read() as Buffer | null) {
        expect(part.byteLength).toBeLessThanOrEqual(PART_BYTES);
        parts.push(part);
        inTurn++;
        time += timePerPart;
      }
    });
    socket.on('end', () => {
      isEnded = true;
    });
    await until(() => isEnded, 'the end');
    expect(Buffer.concat(parts).equals(SENT)).toBe(true);
    expect(Math.max(...perTurn)).toBe(partsPerTurn);
  },
);

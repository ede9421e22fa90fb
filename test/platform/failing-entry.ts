/** An entry in which an error that nobody handles can be provoked: `FAILURE` names its kind, SIGUSR2 its time. */
import { EventEmitter } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import '../../platform/main.js';
import { EntryPeers } from '../../src/peers/entry-peers.js';

function fail(): never {
  throw new Error('provoked');
}

const FAILURES: Record<string, () => void> = {
  timer: () => void setTimeout(fail, 1),
  repeatedTimer: () => void setInterval(fail, 20),
  event: () => {
    const server = createServer((_request, response) => response.end());
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number };
      connect(port, '127.0.0.1').once('connect', fail);
    });
  },
  errorEvent: () => void setImmediate(() => new EventEmitter().emit('error', new Error('provoked'))),
  promise: () => void Promise.reject(new Error('provoked')),
  // The stop that the first error orders meets another one.
  stop: () => {
    EntryPeers.prototype.announce = fail;
    setTimeout(fail, 1);
  },
  noError: () => void Promise.reject(undefined),
};

process.on('SIGUSR2', () => FAILURES[process.env.FAILURE ?? '']?.());

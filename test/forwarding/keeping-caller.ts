/** A caller that keeps its connection, for tests of when connections close. */
import { connect, type Socket } from 'node:net';

export class KeepingCaller {
  readonly #socket: Socket;
  readonly #method: string;
  readonly #path: string;
  #received = '';

  /** @param address - `host:port` of the entry */
  constructor(address: string, method: 'GET' | 'POST', path: string) {
    const [host, port] = address.split(':');
    this.#method = method;
    this.#path = path;
    this.#socket = connect({ host, port: Number(port) });
    this.#socket.on('error', () => {});
    this.#socket.on('data', (bytes) => {
      this.#received += bytes.toString('latin1');
    });
  }

  /** Number of answers of which the head has been received. */
  get answers(): number {
    return this.#received.split('HTTP/1.1 ').length - 1;
  }

  /** Number of answers of back ends of which the head has been received. */
  get servedAnswers(): number {
    return this.#received.split('HTTP/1.1 200 OK').length - 1;
  }

  /** Number of answers in chunks, and of empty ones, that have been received to their end. */
  get wholeAnswers(): number {
    return this.#received.split(/\r\n0\r\n\r\n|content-length: 0\r\n(?:.+\r\n)*\r\n/i).length - 1;
  }

  get isClosed(): boolean {
    return this.#socket.closed;
  }

  send(id: string, body = ''): void {
    const head = [
      `${this.#method} ${this.#path} HTTP/1.1`,
      'Host: api.example',
      `x-request: ${id}`,
      'x-key: key-a',
    ];
    const length = this.#method === 'GET' ? [] : [`Content-Length: ${body.length}`];
    this.#socket.write(`${[...head, ...length].join('\r\n')}\r\n\r\n${body}`);
  }

  close(): void {
    this.#socket.destroy();
  }
}

/** Test back end whose answers are scripted, down to raw bytes. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** Answers one request; `body` is the complete body of the request. */
export type Script = (request: IncomingMessage, response: ServerResponse, body: Buffer) => void;

export class StandInBackEnd {
  readonly requests: Array<{
    method: string;
    url: string;
    headers: IncomingMessage['headers'];
    body: string;
  }> = [];
  /** Number of requests whose connection closed before their answer was complete. */
  cancelled = 0;
  /** Number of requests whose connection is open and whose answer is not complete. */
  open = 0;
  /** If false, request bodies are not read and scripts are not run. */
  readsBodies = true;
  #server: Server | undefined;
  #script: Script;

  constructor(script: Script) {
    this.#script = script;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server!.address() as AddressInfo).port}`;
  }

  answer(script: Script): void {
    this.#script = script;
  }

  /** @param port - 0 for a free one */
  async start(port = 0): Promise<this> {
    const server = createServer(async (request, response) => {
      this.open++;
      response.on('close', () => {
        this.open--;
        if (!response.writableFinished) this.cancelled++;
      });
      if (!this.readsBodies) return;
      const parts: Buffer[] = [];
      // The `close` handler above counts aborted requests.
      await readInto(parts, request).catch(() => {});
      if (!request.complete) return;
      const body = Buffer.concat(parts);
      const { method = '', url = '', headers } = request;
      this.requests.push({ method, url, headers, body: body.toString('utf8') });
      this.#script(request, response, body);
    });
    await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
    this.#server = server;
    return this;
  }

  async stop(): Promise<void> {
    this.#server?.closeAllConnections();
    await new Promise((resolve) => this.#server?.close(resolve));
  }
}

async function readInto(parts: Buffer[], request: IncomingMessage): Promise<void> {
  for await (const part of request) parts.push(part as Buffer);
}

/** Answers with a status, a body and the id of the request. */
export function reply(status: number, body: string, headers: Record<string, string> = {}): Script {
  return (request, response) => {
    response.writeHead(status, { 'x-request': String(request.headers['x-request']), ...headers });
    response.end(body);
  };
}

/** Answers by writing raw bytes to the connection of the request. */
export function raw(write: (socket: Socket, requestId: string) => void): Script {
  return (request) => write(request.socket as Socket, String(request.headers['x-request']));
}

/** Events with the ids `first` to `last`. */
export function events(first: number, last: number): string {
  let text = '';
  for (let id = first; id <= last; id++) text += `id: ${id}\ndata: word ${id}\n\n`;
  return text;
}

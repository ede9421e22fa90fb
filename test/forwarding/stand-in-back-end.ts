/** A back end for tests that answers each request as the test scripts it, down to the bytes. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** What a back end does with a request; `body` is the whole body. */
export type Script = (request: IncomingMessage, response: ServerResponse, body: Buffer) => void;

/** A back end at a free port. */
export class StandInBackEnd {
  readonly requests: Array<{
    method: string;
    url: string;
    headers: IncomingMessage['headers'];
    body: string;
  }> = [];
  /** Requests whose connection closed before their answer was whole. */
  cancelled = 0;
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

  async start(): Promise<this> {
    const server = createServer(async (request, response) => {
      response.on('close', () => {
        if (!response.writableFinished) this.cancelled++;
      });
      const parts: Buffer[] = [];
      for await (const part of request) parts.push(part as Buffer);
      const body = Buffer.concat(parts);
      const { method = '', url = '', headers } = request;
      this.requests.push({ method, url, headers, body: body.toString('utf8') });
      this.#script(request, response, body);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.#server = server;
    return this;
  }

  async stop(): Promise<void> {
    this.#server?.closeAllConnections();
    await new Promise((resolve) => this.#server?.close(resolve));
  }
}

/** Answers with a status, a body and the request's identity. */
export function reply(status: number, body: string, headers: Record<string, string> = {}): Script {
  return (request, response) => {
    response.writeHead(status, { 'x-request': String(request.headers['x-request']), ...headers });
    response.end(body);
  };
}

/** Writes raw bytes to the connection of a request. */
export function raw(write: (socket: Socket, requestId: string) => void): Script {
  return (request) => write(request.socket as Socket, String(request.headers['x-request']));
}

/** Events with rising identities. */
export function events(first: number, last: number): string {
  let text = '';
  for (let id = first; id <= last; id++) text += `id: ${id}\ndata: word ${id}\n\n`;
  return text;
}

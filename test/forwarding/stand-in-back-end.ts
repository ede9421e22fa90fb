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
  /** Requests whose connection is open and whose answer is not whole. */
  open = 0;
  /** Where false, bodies are left unread, and scripts are not run for requests that have one. */
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

  async start(): Promise<this> {
    const server = createServer(async (request, response) => {
      this.open++;
      response.on('close', () => {
        this.open--;
        if (!response.writableFinished) this.cancelled++;
      });
      if (!this.readsBodies) return;
      const parts: Buffer[] = [];
      // A caller that breaks off is counted above.
      await readInto(parts, request).catch(() => {});
      if (!request.complete) return;
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

async function readInto(parts: Buffer[], request: IncomingMessage): Promise<void> {
  for await (const part of request) parts.push(part as Buffer);
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

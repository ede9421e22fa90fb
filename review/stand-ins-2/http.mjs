/** Helpers for HTTP: reads a body, finds free ports, and makes one request on a connection of its own or a kept one. */
import { request as open } from 'node:http';
import { connect, createServer } from 'node:net';

export async function readBody(message) {
  const parts = [];
  for await (const part of message) parts.push(part);
  return Buffer.concat(parts);
}

/** Finds `count` free ports of a loopback address. */
export async function freePorts(host, count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve, reject) => {
          const server = createServer();
          server.once('error', reject);
          server.listen(0, host, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

export function sleep(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/**
 * Sends one request. Returns the status, headers and body of the answer and whether the answer is complete; status 0 if the
 * connection ended without one.
 */
export function ask(address, { method = 'GET', path, headers = {}, body, agent, timeout = 10_000 }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const fail = (error) =>
      resolve({ status: 0, headers: {}, body: '', isComplete: false, error: error.code });
    const sent = open({ host, port, method, path, headers, agent, timeout }, (answer) => {
      readBody(answer).then(
        (bytes) => {
          const { statusCode: status, headers: received, complete: isComplete } = answer;
          resolve({ status, headers: received, body: bytes.toString(), isComplete });
        },
        (error) =>
          resolve({
            status: answer.statusCode,
            headers: answer.headers,
            body: '',
            isComplete: false,
            error: error.code,
          }),
      );
    });
    sent.on('error', fail);
    sent.on('timeout', () => sent.destroy());
    sent.end(body);
  });
}

/**
 * Sends a request as it stands on a connection of its own, and reads until the connection ends. Returns what was received and
 * whether the connection was closed in order. The runtime may report a reset that follows data as an ordinary end, so that the
 * connection is asked for its peer: one that was reset has none any more.
 */
export function exchange(address, text) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const parts = [];
    let wasClosed = false;
    const socket = connect({ host, port, allowHalfOpen: true });
    socket.on('data', (bytes) => parts.push(bytes));
    socket.on('end', () => {
      wasClosed = socket.remoteAddress !== undefined;
      socket.end();
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve({ text: Buffer.concat(parts).toString('latin1'), wasClosed }));
    socket.write(text);
  });
}

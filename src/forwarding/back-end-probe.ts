/** Probes of a back end beside the requests of callers: whether its machine accepts connections, and its health answer. */
import { connect } from 'node:net';
import { Client } from 'undici';
import { addressOf } from '../model/address.js';
import type { BackEndIdentity } from '../model/back-end-identity.js';
import type { HeaderNames } from './header-names.js';

/** Timeout for opening a connection, in milliseconds: longer than the retransmission of a lost packet. */
const CONNECT_TIMEOUT = 400;
/** Timeout for the head of a health answer, in milliseconds: it may have to wait for a slot. */
const HEALTH_TIMEOUT = 1_000;
/** Maximum size of the head of a health answer in bytes; its body is not read. */
const MAX_HEAD_BYTES = 16_384;
/** Longest time for which a back end may say that it stays cold, in milliseconds: one day. */
const MAX_COLD_TIME = 86_400_000;
const REFUSED = 'ECONNREFUSED';

/** Result of opening a connection. */
export type ProbeResult = 'refused' | 'accepted' | 'silent';

/** What a health answer tells. */
export interface HealthAnswer {
  connection: ProbeResult;
  /** Time for which the back end stays cold, in milliseconds; undefined if it did not tell. */
  coldLeft: number | undefined;
}

/** Opens a connection to `host:port` and closes it again. */
export function probeConnection(address: string): Promise<ProbeResult> {
  const { host, port } = addressOf(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: CONNECT_TIMEOUT });
    const settle = (result: ProbeResult) => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => settle('accepted'));
    socket.once('timeout', () => settle('silent'));
    socket.once('error', ({ code }: NodeJS.ErrnoException) =>
      settle(code === REFUSED ? 'refused' : 'silent'),
    );
  });
}

/** Requests `path` of a back end over a new connection; the answer of another back end at its address tells nothing. */
export async function probeHealth(
  backEnd: Pick<BackEndIdentity, 'id'> & { address: string },
  path: string,
  names: Pick<HeaderNames, 'answeringBackEnd' | 'coldLeft'>,
): Promise<HealthAnswer> {
  const client = new Client(`http://${backEnd.address}`, {
    connect: { timeout: CONNECT_TIMEOUT },
    maxHeaderSize: MAX_HEAD_BYTES,
  });
  let isConnected = false;
  client.once('connect', () => {
    isConnected = true;
  });
  try {
    const signal = AbortSignal.timeout(HEALTH_TIMEOUT);
    const { headers, body } = await client.request({ method: 'GET', path, signal });
    body.on('error', () => {});
    const coldLeft = Number(headers[names.coldLeft] ?? Number.NaN);
    const isTold =
      headers[names.answeringBackEnd] === backEnd.id && coldLeft >= 0 && coldLeft <= MAX_COLD_TIME;
    return { connection: 'accepted', coldLeft: isTold ? coldLeft : undefined };
  } catch (cause) {
    if (isConnected) return { connection: 'accepted', coldLeft: undefined };
    const isRefused = (cause as NodeJS.ErrnoException).code === REFUSED;
    return { connection: isRefused ? 'refused' : 'silent', coldLeft: undefined };
  } finally {
    void client.destroy().catch(() => {});
  }
}

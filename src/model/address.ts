/** Network addresses, `host:port`. */

/** Maximum length of a host name, in characters (RFC 1035). */
const MAX_HOST_LENGTH = 253;
const MAX_PORT = 65_535;
/** Labels of letters, digits, hyphens and underscores; a label neither is empty nor begins or ends with a hyphen. */
const HOST = /^(?!-)[a-z0-9_-]{1,63}(?<!-)(\.(?!-)[a-z0-9_-]{1,63}(?<!-))*$/i;
const PORT = /^[0-9]{1,5}$/;

export interface Address {
  /** An IPv4 address or a host name. */
  host: string;
  port: number;
}

/**
 * Parses `host:port`; returns undefined if no connection can be opened to it. Each address that is returned can be requested over
 * HTTP and connects to the host that it names: forms that the URL parser rejects or rewrites (`worker.999`, `0x7f.1`, invalid
 * punycode) are not addresses.
 */
export function parseAddress(text: string): Address | undefined {
  const separator = text.lastIndexOf(':');
  const host = text.slice(0, separator);
  const port = text.slice(separator + 1);
  if (separator < 1 || host.length > MAX_HOST_LENGTH || !HOST.test(host) || !PORT.test(port))
    return undefined;
  const number = Number(port);
  if (number < 1 || number > MAX_PORT || !isKeptByUrl(host)) return undefined;
  return { host, port: number };
}

/** Whether a host is an IPv4 address in its usual form, or a name that the URL parser keeps. */
function isKeptByUrl(host: string): boolean {
  const url = `http://${host}/`;
  return URL.canParse(url) && new URL(url).hostname === host.toLowerCase();
}

/**
 * Splits an address of the settings, which have been validated.
 * @throws if it is none
 */
export function addressOf(text: string): Address {
  const address = parseAddress(text);
  if (address === undefined) throw new Error(`not an address: "${text.slice(0, MAX_HOST_LENGTH)}"`);
  return address;
}

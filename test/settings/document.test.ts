import { describe, expect, it } from 'vitest';
import { formatProblem, readDocument } from '../../src/settings/document.js';
import { agentSettings } from '../../src/settings/schemas.js';

const GOOD = `{
  // A comment.
  "place": "riga", "region": "baltics", "zone": "riga-a",
  "listen": { "peers": "127.0.0.1:9000", "operators": "127.0.0.1:9001" },
  "entries": [{ "address": "127.0.0.1:9100", "zone": "riga-a" }],
  "backEnd": { "kind": "engine", "url": "http://127.0.0.1:9200", "pool": "gpu" },
  "origin": "http://127.0.0.1:9300/origin",
  "weights": { "memoryBytes": 1000, "linkBytesPerSecond": 1000 },
}`;

function problemsOf(text: string): string[] {
  const read = readDocument('agent.jsonc', text, agentSettings);
  return read.ok ? [] : read.problems.map(formatProblem);
}

describe('settings', () => {
  it('may have comments and trailing commas, and defaults are filled in', () => {
    const read = readDocument('agent.jsonc', GOOD, agentSettings);
    expect(read).toMatchObject({
      ok: true,
      value: { weights: { linkDuplex: 'shared' }, log: { level: 'info' } },
    });
  });

  it.each([
    ['a wrong type', '"memoryBytes": 1000', '"memoryBytes": "x"', /^agent\.jsonc:8: weights\.memoryBytes: /],
    [
      'a host name instead of an IPv4 address',
      '127.0.0.1:9000',
      'localhost:9000',
      /^agent\.jsonc:4: listen\.peers: .*IPv4 address/,
    ],
    ['an unknown field', '"region"', '"regoin": 1, "region"', /^agent\.jsonc:1: .*regoin/],
    ['a missing field', '"place": "riga",', '', /^agent\.jsonc:1: place: /],
    ['an unknown kind of back end', '"engine"', '"motor"', /^agent\.jsonc:6: backEnd\.kind: /],
    ['broken syntax', '"zone":', '"zone"', /^agent\.jsonc:3: not valid JSON with comments/],
  ])('name file, line and field of %s', (_, good, bad, expected) => {
    expect(problemsOf(GOOD.replace(good, bad))[0]).toMatch(expected);
  });
});

import { connect } from 'node:net';
import fc from 'fast-check';
import { Client } from 'undici';
import { describe, expect, it } from 'vitest';
import { WebSocket } from 'ws';
import { addressOf, parseAddress } from '../../src/model/address.js';

describe('an address', () => {
  for (const [text, host, port] of [
    ['10.1.0.40:8005', '10.1.0.40', 8_005],
    ['back-end.example:80', 'back-end.example', 80],
    ['Back_End:1', 'Back_End', 1],
    ['localhost:65535', 'localhost', 65_535],
    ['a.b2:00009', 'a.b2', 9],
  ] as const)
    it(`is ${text}`, () => expect(parseAddress(text)).toEqual({ host, port }));

  for (const text of [
    ...[
      '',
      ':',
      ':80',
      'a',
      'a:',
      'a:b',
      'a:0',
      'a:65536',
      'a:99999',
      'a:100000',
      'a:-1',
      'a:1e3',
      'a:8.5',
      'a: 80',
    ],
    // Numbers in the last label, which the URL parser takes for an IPv4 address of another form, or for none.
    ...[
      'worker.999:9',
      '0x7f.1:9',
      'a.0x9999999999:9',
      '127.1:80',
      '1:80',
      '10.0.0.256:80',
      '010.0.0.1:80',
      '1.2.3.4.5:9',
    ],
    // Names that no host can have.
    ...[
      'xn--a:9',
      '..:9',
      'a..b:9',
      '.a:9',
      'a.:9',
      '-a:9',
      'a-:9',
      `${'a'.repeat(64)}:9`,
      `${'a.'.repeat(127)}ab:9`,
    ],
    // Parts of a URL, other characters and other forms.
    ...[
      'http://a:9',
      'a:9/x',
      'a/b:9',
      'a?b:9',
      'a#b:9',
      'u@a:9',
      'a b:9',
      'ä:9',
      'a%41:9',
      '[::1]:9',
      'a\n:9',
      'a:9\n',
      'a\0:9',
    ],
  ])
    it(`is not ${JSON.stringify(text).slice(0, 60)}`, () => {
      expect(parseAddress(text)).toBeUndefined();
      expect(() => addressOf(text)).toThrow('not an address');
    });
});

describe('each text that is accepted as an address', () => {
  const part = fc.oneof(
    fc.constantFrom(
      '0x',
      'xn--',
      '999',
      '127',
      '0',
      '.',
      '-',
      '_',
      'a',
      'B',
      '%',
      ':',
      '/',
      '@',
      ' ',
      'é',
      '[',
      '\t',
    ),
    fc.string({ maxLength: 3 }),
    fc.nat(99_999).map(String),
    fc.domain(),
    fc.ipV4(),
    fc.ipV4Extended(),
  );
  const host = fc.array(part, { minLength: 1, maxLength: 5 }).map((parts) => parts.join(''));
  const text = fc.oneof(
    fc.tuple(host, fc.oneof(fc.nat(70_000).map(String), part)).map(([name, port]) => `${name}:${port}`),
    fc.tuple(fc.oneof(fc.ipV4(), fc.domain()), fc.nat(70_000)).map(([name, port]) => `${name}:${port}`),
  );

  it('can be requested by every client, none of which throws, and names the host that is connected to', () => {
    let accepted = 0;
    fc.assert(
      fc.property(text, (candidate) => {
        const address = parseAddress(candidate);
        if (address === undefined) return;
        accepted++;
        expect(new URL(`http://${candidate}`).hostname).toBe(address.host.toLowerCase());
        const { host: name, port } = address;
        void new Client(`http://${candidate}`).destroy();
        // The lookup is not made: what a name resolves to is known only when it is connected to.
        const lookup = (_name: string, _options: unknown, done: (cause: Error) => void) =>
          done(new Error('none'));
        connect({ host: name, port, lookup: lookup as never })
          .on('error', () => {})
          .destroy();
        new WebSocket(`ws://${candidate}`, { lookup } as never).on('error', () => {}).terminate();
      }),
      { seed: 82, numRuns: 2_000 },
    );
    expect(accepted).toBeGreaterThan(200);
  });
});

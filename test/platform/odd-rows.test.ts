/**
 * Guards against one odd row of another writer among those of back ends: entries ended or stopped following the list, and requests
 * of the row's service were lost. Real processes, with sockets; the row is written again at each heartbeat, and removed.
 */
import fc from 'fast-check';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { platformRecords } from '../../platform/records.js';
import { StandInBackEnd } from '../forwarding/stand-in-back-end.js';
import { until } from '../support.js';
import { ENGINES, type EntryProcess, EntryProcesses, waitUntilServing } from './entry-processes.js';
import { workerRow } from './wire-rows.js';

const HEARTBEATS = 3;
const HEARTBEAT = 300;
const MARKER_ROUTE = {
  name: 'marker',
  path_prefix: '/marker/',
  kind: 'idempotent',
  max_attempts: 2,
  service: 'marker',
};
const ENGINE_LAYERS = '"layers":{"from":0,"target_version":16,"version":1}';
const DRAWN_ROWS = 100;
/** Log lines about requests that were not served, and why. */
const UNSERVED =
  /"message":"(ended|no back end|attempt failed|failure passed on|back end silent|stood still)"/;
/** Requests of each kind to each entry while the rows are there. */
const REQUESTS = 24;

const entries = new EntryProcesses(79);
/** Breaks every second request off, so that requests are sent again. */
let breaking: StandInBackEnd;
/** The only back end of a service whose record is written last. */
let marker: StandInBackEnd;
let running: EntryProcess[];
let attempts: number;

const answer = (id: unknown) => ({ 'attempt-id': String(id) });

beforeAll(() => entries.build());
afterAll(() => entries.removeFolder());

beforeEach(async () => {
  attempts = 0;
  await entries.start((request, response) => {
    response.writeHead(200, answer(request.headers['attempt-id']));
    response.end('done');
  });
  breaking = await new StandInBackEnd((request, response) => {
    if (attempts++ % 2 === 0) return request.socket.destroy();
    response.writeHead(200, answer(request.headers['attempt-id']));
    response.end('done');
  }).start();
  marker = await new StandInBackEnd(() => {}).start();
  entries.configure(1, [MARKER_ROUTE]);
  // The second entry cannot reach the store and has everything from the first.
  entries.seeds = [`${entries.ip(entries.nextNumber)}:8000`];
  const first = await entries.startEntry();
  const unreachable = { platform: { address: '127.0.0.1:1' } };
  const second = await entries.startProcess('entry', unreachable);
  // Its engine is no back end of the list, whose requests would need slots of the agent.
  const agent = await entries.startProcess('agent', { machine_class: 'side', app: await freeAddress() });
  await Promise.all([first, second].map(waitUntilServing));
  await until(() => agent.output.includes('agent started'), 'the agent');
  running = [first, second, agent];
});

afterEach(async () => {
  await entries.stop();
  await breaking.stop();
  await marker.stop();
});

/** Statuses of sequential requests to both entries, by kind and entry. */
async function statusesOf(path: string, count = REQUESTS): Promise<number[]> {
  const [first, second] = running;
  const statuses = await Promise.all(
    [first, second].map(async ({ callers }) => {
      const own: number[] = [];
      for (let request = 0; request < count; request++) own.push((await entries.send(callers, path)).status);
      return own;
    }),
  );
  return statuses.flat();
}

/** Checks that all requests are served; a failure shows how the entries ended those that were not. */
async function expectServed(path: string, count = REQUESTS): Promise<void> {
  const statuses = await statusesOf(path, count);
  const ends = running.flatMap(({ output }) =>
    output
      .split('\n')
      .filter((line) => UNSERVED.test(line))
      .slice(-20),
  );
  expect(statuses, ends.join('\n')).toEqual(Array(2 * count).fill(200));
}

/** Checks that all processes live and that a change of the list reaches both entries. */
async function expectFollowing(routes: Parameters<EntryProcesses['configure']>[1] = []): Promise<void> {
  const late = await new StandInBackEnd((request, response) => {
    response.writeHead(200, answer(request.headers['attempt-id']));
    response.end('late');
  }).start();
  entries.list('i-late', { address: late.address, service: 'late' });
  entries.configure(3, [
    MARKER_ROUTE,
    ...routes,

    { name: 'late', path_prefix: '/late/', kind: 'idempotent', max_attempts: 2, service: 'late' },
  ]);
  for (const { callers } of running.slice(0, 2))
    await until(
      async () => (await entries.send(callers, '/late/a')).body === 'late',
      'the change of the list',
    );
  await late.stop();
  for (const { child, output } of running) {
    expect(child.exitCode).toBeNull();
    expect(output).not.toContain('uncaught error');
    expect(output).not.toContain('request abandoned');
  }
}

const deep = (levels: number) => '['.repeat(levels) + ']'.repeat(levels);
/** Nothing listens at the address of a row that is sound but for the field in question. */
const row = (change: object = {}) =>
  JSON.stringify(workerRow({ service: 'plain', address: '127.0.0.1:1', slots: 8, layers: null, ...change }));
/** A row in whose JSON the value of `field` is the text `value`. */
const raw = (field: string, value: string) => row({ [field]: '@' }).replace('"@"', () => value);
const FIELDS = Object.keys(workerRow({ born: 1, extra: 1 }));
const ODD_VALUES = [
  ['deeply nested', deep(30_000)],
  ['a huge number', '1e400'],
  ['a large number', '1e308'],
  ['a number of 30,000 digits', '9'.repeat(30_000)],
  ['a negative number', '-1'],
  ['null', 'null'],
  ['an object', '{"__proto__":{"x":1},"constructor":1}'],
  ['a lone surrogate', '"\\ud800"'],
  ['a control character', '"a\\u0000\\r\\n"'],
  ['a long text', `"${'x'.repeat(60_000)}"`],
] as const;

type Row = [key: string, value: string | Buffer];

/** Moves a row that can be used, whatever its odd field, to another service: it is a back end that nobody can reach. */
function movedIfUsable([key, value]: Row): Row {
  const stored = { table: 'servers', partition: '', key, value: Buffer.from(value), revision: 1 };
  const isUsable = platformRecords.backEnd(stored).ok;
  return isUsable && typeof value === 'string'
    ? [key, value.replace('"plain"', '"elsewhere"')]
    : [key, value];
}

/** Rows by key; each is written beside sound back ends of its service. */
const ALL_ROWS: Row[] = [
  ...FIELDS.flatMap((field) =>
    ODD_VALUES.map(([name, value]): [string, string] => [`${field}: ${name}`, raw(field, value)]),
  ),
  ...[
    ...[
      'worker.999:9',
      '0x7f.1:9',
      'a.0x9999999999:9',
      'xn--a:9',
      '..:9',
      '-a:9',
      'a:0',
      'a:65536',
      'a:99999',
      'a:-1',
      'a:1e3',
    ],
    ...[
      '[::1]:9',
      'a b:9',
      'a/b:9',
      'a@b:9',
      'http://a:9',
      ':9',
      'a:',
      '10.0.0.256:9',
      '127.1:9',
      `${'a'.repeat(300)}:9`,
    ],
  ].map((address): [string, string] => [`address ${address}`, row({ address })]),
  ['not JSON', '{"service":'],
  ['deep alone', deep(30_000)],
  ['empty', ''],
  ['a number', '7'],
  ['invalid UTF-8', Buffer.from([0x7b, 0xff, 0xfe, 0x7d])],
  ['__proto__', row({ address: 'worker.999:9' })],
  ['constructor', row({ address: 'xn--a:9' })],
  ['\0', row({ address: 'worker.999:9' })],
  ['a\nb', row({ address: 'worker.999:9' })],
  ['i-1 ', row({ address: 'worker.999:9' })],
];

/** Rows with an odd field; those with an odd address or key stay as they are. */
const ODD_ROWS = ALL_ROWS.map((one) => (one[0].includes(': ') ? movedIfUsable(one) : one));

/** Resolves once both entries know what has been written so far: a back end that is listed last serves. */
async function untilKnown(): Promise<void> {
  const name = `marker-${entries.store.revision}`;
  marker.answer((request, response) => {
    response.writeHead(200, answer(request.headers['attempt-id']));
    response.end(name);
  });
  entries.list(name, { service: 'marker', address: marker.address });
  for (const { callers } of running.slice(0, 2))
    await until(async () => (await entries.send(callers, '/marker/a')).body === name, 'what was written');
  entries.store.write('servers', name, undefined);
  await until(async () => (await statusOf(running[0], '/marker/a')) === 503, 'the removal of the marker');
  await until(async () => (await statusOf(running[1], '/marker/a')) === 503, 'the removal of the marker');
}

const statusOf = async ({ callers }: EntryProcess, path: string) =>
  (await entries.send(callers, path)).status;

/** Writes the rows now and at some heartbeats, in which their `seq` rises. */
async function writeAtHeartbeats(rows: readonly Row[], whileThere: () => Promise<void>): Promise<void> {
  let seq = 1;
  const write = () => {
    seq++;
    const written = rows.map(([key, value]): [string, string | Buffer] => [
      key,
      typeof value === 'string' ? value.replace('"seq":1', `"seq":${seq}`) : value,
    ]);
    entries.store.writeAll('servers', written);
  };
  write();
  await untilKnown();
  const heartbeat = setInterval(write, HEARTBEAT);
  try {
    await whileThere();
    await until(() => seq > HEARTBEATS, 'the heartbeats');
  } finally {
    clearInterval(heartbeat);
  }
  entries.store.writeAll(
    'servers',
    rows.map(([key]) => [key, undefined]),
  );
  await untilKnown();
}

describe('odd rows among those of back ends cost no request and stop nothing', () => {
  it('beside a sound back end', async () => {
    await writeAtHeartbeats(ODD_ROWS, async () => {
      await expectServed('/again/a');
      await expectServed('/once/a');
      await expectServed('/flow/a');
      await expectFollowing();
    });
    await until(async () => (await statusesOf('/again/a', 1)).every((status) => status === 200), 'service');
  }, 60_000);

  it('beside back ends that break requests off, so that they are sent again', async () => {
    entries.list('i-2', { address: breaking.address });
    await writeAtHeartbeats(ODD_ROWS, async () => {
      const statuses = await statusesOf('/again/a');
      expect(statuses.filter((status) => status !== 200 && status !== 502)).toEqual([]);
      await expectFollowing();
    });
  }, 60_000);

  it('alone in their service', async () => {
    entries.store.write('servers', 'i-1', undefined);
    await until(
      async () => (await statusesOf('/again/a', 1)).every((status) => status === 503),
      'the removal',
    );
    await writeAtHeartbeats(ODD_ROWS, async () => {
      expect(await statusesOf('/again/a', 4)).toEqual(Array(8).fill(503));
      await expectFollowing();
    });
    entries.list('i-1', { address: entries.backEnd.address });
    await until(async () => (await statusesOf('/again/a', 1)).every((status) => status === 200), 'service');
  }, 60_000);

  it('beside a sound engine whose version is named', async () => {
    const route = { name: 'write', path_prefix: '/write/', kind: 'stream', resumable: true, max_attempts: 2 };
    entries.configure(2, [MARKER_ROUTE, { ...route, service: ENGINES }]);
    entries.store.write('op', 'version/m', JSON.stringify({ model: 'm', version: 1 }));
    const engine = workerRow({ address: entries.backEnd.address, slots: 8 });
    entries.store.write('servers', 'i-engine', JSON.stringify(engine));
    await until(async () => (await statusesOf('/write/a', 1)).every((status) => status === 200), 'service');
    const rows = ODD_ROWS.map(([key, value]): Row => {
      // The layers of a sound engine, unless they are what is odd.
      const ofEngine = String(value)
        .replace('"plain"', `"${ENGINES}"`)
        .replace('"layers":null', ENGINE_LAYERS);
      return [key, typeof value === 'string' ? ofEngine : value];
    });
    await writeAtHeartbeats(rows, async () => {
      await expectServed('/write/a');
      await expectFollowing([{ ...route, service: ENGINES }]);
    });
  }, 60_000);

  it('one by one', async () => {
    const keys = [
      'address worker.999:9',
      'address xn--a:9',
      'layers: deeply nested',
      'slots: a huge number',
      '__proto__',
      '\0',
    ];
    for (const [key, value] of ODD_ROWS.filter(([name]) => keys.includes(name))) {
      entries.store.write('servers', key, value);
      await untilKnown();
      await expectServed('/again/a', 4);
      await expectServed('/once/a', 4);
      entries.store.write('servers', key, undefined);
    }
    await expectFollowing();
  }, 60_000);
});

/** Draws the text of a field's value: sound, or of a wrong type, size or form. */
const drawnValue = (sound: unknown) =>
  fc.oneof(
    { weight: 3, arbitrary: fc.constant(JSON.stringify(sound) ?? 'null') },
    { weight: 1, arbitrary: fc.constantFrom(...ODD_VALUES.map(([, value]) => value)) },
    { weight: 1, arbitrary: fc.jsonValue().map((value) => JSON.stringify(value)) },
  );
const drawnAddress = fc
  .oneof(
    fc.string({ maxLength: 12 }),
    fc.constantFrom('worker.', '0x', 'xn--', 'a.', '127.'),
    fc.nat().map(String),
  )
  .chain((host) =>
    fc.oneof(fc.nat(99_999).map(String), fc.string({ maxLength: 5 })).map((port) => `${host}:${port}`),
  );

/** Rows of which at most some are sound, and those name an address that refuses connections. */
const drawnRow = fc
  .tuple(
    fc.string({ minLength: 1, maxLength: 30 }),
    fc.record(
      Object.fromEntries(
        Object.entries(workerRow({ service: 'plain', layers: null, born: 1 })).map(([field, sound]) => [
          field,
          field === 'address' ? drawnAddress.map((text) => JSON.stringify(text)) : drawnValue(sound),
        ]),
      ),
      { requiredKeys: ['address', 'service'] },
    ),
  )
  .map(([key, fields]): [string, string] => [
    `drawn ${key}`,
    `{${Object.entries(fields)
      .map(([field, value]) => `${JSON.stringify(field)}:${value}`)
      .join(',')}}`,
  ]);

it('drawn rows cost no request and stop nothing', async () => {
  const batches = Number(process.env.ODD_ROW_BATCHES ?? 1);
  for (let batch = 0; batch < batches; batch++) {
    const drawn = fc.sample(drawnRow, {
      seed: Number(process.env.ODD_ROW_SEED ?? 82) + batch,
      numRuns: DRAWN_ROWS,
    });
    await writeAtHeartbeats([...drawn.map(movedIfUsable), ['refuses', row()]], async () => {
      await expectServed('/again/a', 8);
      await expectServed('/once/a', 8);
    });
    // The stand-in searches all changes that it remembers.
    entries.store.forgetHistory();
  }
  await expectFollowing();
}, 600_000);

it('a name that resolves to nothing, or to several addresses, costs no request', async () => {
  entries.list('i-none', { address: 'nowhere.invalid:9' });
  entries.list('i-several', { address: 'localhost:9' });
  await expectServed('/again/a');
  await expectServed('/once/a');
  await expectFollowing();
}, 60_000);

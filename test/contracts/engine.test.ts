import { afterEach, describe, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import { engineEmulator } from '../../emulator/engine/engine.js';
import { serviceEmulator } from '../../emulator/service/service.js';
import { type EngineClient, httpEngineClient } from '../../src/engine/engine-client.js';
import { buildManifest, versionOf } from '../../src/model/manifest.js';
import type { Startable } from '../../src/model/startable.js';
import { engineEmulatorSettings, serviceEmulatorSettings } from '../../src/settings/schemas.js';
import { until } from '../support.js';

const CHUNKS = [Buffer.alloc(10, 1), Buffer.alloc(10, 2)];
const VERSION = versionOf(buildManifest(Buffer.concat(CHUNKS), 10));

const running: Startable[] = [];
const signal = () => AbortSignal.timeout(5_000);

afterEach(async () => {
  for (const part of running.splice(0)) await part.stop();
});

async function engine(
  settings: object = {},
): Promise<{ client: EngineClient; address: string; epoch: number }> {
  const address = await freeAddress();
  const parsed = { listen: address, loadMilliseconds: 0, stepMilliseconds: 1, cacheEventLag: 0, ...settings };
  const emulator = engineEmulator(engineEmulatorSettings.parse(parsed));
  await emulator.start();
  running.push(emulator);
  const client = httpEngineClient(`http://${address}`);
  const claimed = await client.claim(signal());
  if (!claimed.ok) throw new Error(claimed.error.reason);
  return { client, address, epoch: claimed.value };
}

async function load(client: EngineClient, epoch: number, chunks = CHUNKS): Promise<void> {
  for (const [index, data] of chunks.entries()) await client.stage(VERSION, index, data, signal());
  await client.order({ kind: 'load', version: VERSION, fence: { epoch, revision: 1 } }, signal());
  await until(async () => {
    const state = await client.state(signal());
    return state.ok && state.value.versions.some((row) => row.state === 'loaded');
  }, 'a loaded version');
}

function completion(requestId: string, tokens: number) {
  const messages = [{ role: 'user', content: 'about topic' }];
  return { request_id: requestId, version: VERSION, model: 'm', messages, max_tokens: tokens, stream: true };
}

async function textOf(answer: { body: { text(): Promise<string> } }): Promise<string> {
  return answer.body.text();
}

describe('a model engine', () => {
  it('reports the digest of the loaded bytes, not the digest named in the order', async () => {
    const whole = await engine();
    await load(whole.client, whole.epoch);
    expect(await whole.client.state(signal())).toMatchObject({
      value: { versions: [{ loadedDigest: VERSION }] },
    });
    const partial = await engine();
    await load(partial.client, partial.epoch, CHUNKS.slice(0, 1));
    const state = await partial.client.state(signal());
    expect(state.ok && state.value.versions[0].loadedDigest === VERSION).toBe(false);
  });

  it.each([
    [true, { ok: false, error: { type: 'fenced' } }],
    [false, { ok: true }],
  ])('that checks fences (%s) answers a stale order accordingly', async (checksFences, expected) => {
    const { client, epoch } = await engine({ checksFences });
    await client.claim(signal());
    const stale = { kind: 'unload' as const, version: VERSION, fence: { epoch, revision: 9 } };
    expect(await client.order(stale, signal())).toMatchObject(expected);
  });

  it('refuses a request for a version that it has not loaded', async () => {
    const { client } = await engine();
    const answer = await client.complete(completion('r', 1), signal());
    await answer.body.dump();
    expect(answer.statusCode).toBe(409);
  });

  it('streams an answer to its end marker and resumes it from a token', async () => {
    const { client, epoch, address } = await engine();
    await load(client, epoch);
    const text = await textOf(await client.complete(completion('r', 3), signal()));
    expect(text.match(/topic-\d/g)).toEqual(['topic-0', 'topic-1', 'topic-2']);
    expect(text.trimEnd().endsWith('data: [DONE]')).toBe(true);
    const resumed = await (await fetch(`http://${address}/v1/requests/r/stream?from=2`)).text();
    expect(resumed.match(/topic-\d/g)).toEqual(['topic-2']);
  });

  it('cancels a request and cuts off its stream', async () => {
    const { client, epoch } = await engine();
    await load(client, epoch);
    const answer = await client.complete(completion('r', 1_000_000), signal());
    await client.cancel('r', signal());
    await expect(textOf(answer)).rejects.toThrow();
  });

  it('transfers a request with its generated tokens to another engine', async () => {
    const [first, second] = [await engine(), await engine()];
    for (const each of [first, second]) await load(each.client, each.epoch);
    await textOf(await first.client.complete(completion('r', 2), signal()));
    const post = (address: string, path: string, body: object) =>
      fetch(`http://${address}${path}`, { method: 'POST', body: JSON.stringify(body) });
    const exported = (await (
      await post(first.address, '/v1/kv/export', { request_id: 'r' })
    ).json()) as object;
    expect((await post(second.address, '/v1/kv/import', { ...exported, maxTokens: 4 })).status).toBe(204);
    const text = await (await fetch(`http://${second.address}/v1/requests/r/stream`)).text();
    expect(text.match(/topic-\d/g)).toHaveLength(4);
  });

  it('publishes cache events with gaps', async () => {
    const { client, epoch, address } = await engine({ cacheEventLoss: 1 });
    await load(client, epoch);
    const long = Array.from({ length: 64 }, (_, index) => `word${index}`).join(' ');
    const call = { ...completion('r', 1), messages: [{ role: 'user', content: long }] };
    await textOf(await client.complete(call, signal()));
    expect(await (await fetch(`http://${address}/v1/cache-events`)).json()).toEqual([]);
  });
});

describe('a plain service', () => {
  it('records every run with its idempotency key', async () => {
    const address = await freeAddress();
    const emulator = serviceEmulator(serviceEmulatorSettings.parse({ listen: address, callMilliseconds: 0 }));
    await emulator.start();
    running.push(emulator);
    for (let run = 0; run < 2; run++) {
      await fetch(`http://${address}/start`, { method: 'POST', headers: { 'idempotency-key': 'k' } });
    }
    const { runs } = (await (await fetch(`http://${address}/audit`)).json()) as { runs: object[] };
    expect(runs).toMatchObject(Array(2).fill({ method: 'POST', path: '/start', key: 'k' }));
  });
});

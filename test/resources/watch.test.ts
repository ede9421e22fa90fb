import Koa from 'koa';
import { afterEach, describe, expect, it } from 'vitest';
import { freeAddress } from '../../bench/processes/child.js';
import type { Row, TableService } from '../../src/clients/table-service.js';
import { AgentDirectory } from '../../src/entry/agent-directory.js';
import { Configuration } from '../../src/entry/configuration.js';
import { HybridClock } from '../../src/model/hybrid-clock.js';
import { seededRandom } from '../../src/model/random.js';
import type { Startable } from '../../src/model/startable.js';
import { Timeline } from '../../src/observability/timeline.js';
import { resourceApi } from '../../src/resources/resource-api.js';
import { httpServer } from '../../src/server/http-server.js';

let server: Startable | undefined;

afterEach(async () => server?.stop());

function row(key: string, revision: number, value: unknown = revision): Row {
  return { table: 'resources', key, value, revision };
}

/** Returns the lines of a watch up to its first bookmark, or the status if the watch is refused. */
async function watchFrom(configuration: Configuration, since: number): Promise<number | object[]> {
  const address = await freeAddress();
  const app = new Koa();
  const directory = new AgentDirectory();
  app.use(resourceApi({ configuration, tables: {} as TableService, directory }).routes());
  server = httpServer(address, app.callback());
  await server.start();
  const ending = new AbortController();
  const answer = await fetch(`http://${address}/apis/v1/watch?since=${since}`, { signal: ending.signal });
  if (!answer.ok) return answer.status;
  let text = '';
  for await (const part of answer.body as unknown as AsyncIterable<Uint8Array>) {
    text += new TextDecoder().decode(part);
    if (text.includes('bookmark')) break;
  }
  ending.abort();
  return text
    .trim()
    .split('\n')
    .map((line) => JSON.parse(line) as object);
}

describe('a watch', () => {
  const timeline = new Timeline('e', new HybridClock());
  const configuration = new Configuration({ tables: {} as TableService, random: seededRandom(1), timeline });
  configuration.applyChanges(0, [row('Tenant/a', 2), row('Tenant/b', 4)], 4);
  configuration.applyChanges(4, [row('Tenant/b', 5, null), row('Tenant/c', 6)], 6);

  it('resumes from a revision with all changes and deletions in order', async () => {
    expect(await watchFrom(configuration, 4)).toEqual([
      { type: 'deleted', key: 'Tenant/b', revision: 5, value: null },
      { type: 'changed', key: 'Tenant/c', revision: 6, value: 6 },
      { type: 'bookmark', revision: 6 },
    ]);
  });

  it('begins with all resources', async () => {
    expect(await watchFrom(configuration, 0)).toMatchObject([
      { key: 'Tenant/a' },
      { key: 'Tenant/c' },
      { type: 'bookmark' },
    ]);
  });

  it('answers 410 if the deletions since the revision are not known', async () => {
    expect(await watchFrom(configuration, 3)).toBe(410);
  });
});

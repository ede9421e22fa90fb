/** The fleet view and its parts move forward only, whatever the source of an update. */
import { describe, expect, it } from 'vitest';
import { BackEndList } from '../../src/fleet/back-end-list.js';
import type { FleetConfiguration, Route } from '../../src/fleet/configuration.js';
import { FleetView } from '../../src/fleet/fleet-view.js';
import { pathOf, RouteTable, targetService } from '../../src/fleet/route-table.js';
import type { BackEndRecord } from '../../src/protocol/back-end-list-state.js';

function record(id: string, revision: number, changes: Partial<BackEndRecord> = {}): BackEndRecord {
  return {
    id,
    service: 's',
    address: `10.0.0.1:${id}`,
    zone: 'z',
    slots: 4,
    leaving: false,
    layers: undefined,
    revision,
    ...changes,
  };
}

function configuration(revision: number, prefixes: string[] = []): FleetConfiguration {
  const routes = prefixes.map(
    (pathPrefix): Route => ({
      name: pathPrefix,
      host: 'Api.example',
      pathPrefix,
      targets: [{ service: 's', weight: 1 }],
      isStream: false,
      repeatability: 'always',
      timeout: 1_000,
      objective: 100,
      longestPause: 0,
      patience: 2_400,
      priority: 1,
      maxAttempts: 1,
      isPublic: true,
    }),
  );
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  return { revision, routes, services: [], origin: undefined, limits, tenants: undefined };
}

describe('routes', () => {
  const table = new RouteTable(configuration(1, ['/', '/a/', '/a/b/']));

  it.each([
    ['/a/b/c', '/a/b/'],
    ['/a/b', '/a/'],
    ['/a/', '/a/'],
    ['/ab/c', '/'],
    ['/', '/'],
  ])('%s matches the longest prefix, %s', (path, prefix) => {
    expect(table.match('api.example:80', path)?.pathPrefix).toBe(prefix);
  });

  it('name the regions of their host and of all tenants, or those of every host', () => {
    const [first, second] = configuration(1, ['/', '/a/']).routes;
    const named = new RouteTable({
      ...configuration(1),
      routes: [
        { ...first, regions: ['r-1'] },
        { ...second, host: 'other.example', regions: ['r-2'] },
        { ...second, host: 'free.example' },
      ],
      tenants: [
        { name: 'bound', keys: [], priority: undefined, regions: ['r-3'] },
        { name: 'free', keys: [], priority: undefined },
      ],
    });
    const listsOf = (host: string) => named.regionLists(host).map((regions) => [...regions]);
    expect(listsOf('other.example:80')).toEqual([['r-2'], ['r-3']]);
    expect(listsOf('free.example')).toEqual([['r-3']]);
    expect(listsOf('')).toEqual([['r-1'], ['r-2'], ['r-3']]);
    expect(new RouteTable(configuration(1, ['/'])).regionLists('')).toEqual([]);
  });

  it('does not match another host', () => expect(table.match('other.example', '/a/')).toBeUndefined());

  it('strips the query', () => expect(pathOf('/a/b?c=/d/')).toBe('/a/b'));

  it('splits requests by weight', () => {
    const route = {
      ...configuration(1, ['/']).routes[0],
      targets: [
        { service: 'x', weight: 90 },
        { service: 'y', weight: 10 },
      ],
    };
    expect(targetService(route, 0.89)).toBe('x');
    expect(targetService(route, 0.91)).toBe('y');
    expect(targetService(route, 0.999999)).toBe('y');
  });
});

describe('FleetView.applyConfiguration', () => {
  it('ignores an older revision', () => {
    const fleet = new FleetView();
    expect(fleet.applyConfiguration({ document: Buffer.from('5'), configuration: configuration(5) })).toBe(
      true,
    );
    expect(fleet.applyConfiguration({ document: Buffer.from('4'), configuration: configuration(4) })).toBe(
      false,
    );
    expect(fleet.configurationRevision).toBe(5);
    expect(fleet.document?.toString()).toBe('5');
  });
});

describe('the list of back ends', () => {
  it('applies newer records and removals, and ignores older ones', () => {
    const list = new BackEndList();
    list.apply([{ type: 'changed', record: record('1', 4) }], 4);
    expect(list.apply([{ type: 'changed', record: record('1', 3, { leaving: true }) }], 3)).toEqual([]);
    expect(list.apply([{ type: 'gone', id: '1', revision: 3 }], 4)).toEqual([]);
    expect(list.apply([{ type: 'gone', id: '1', revision: 6 }], 6)).toHaveLength(1);
    expect(list.revision).toBe(6);
  });

  it('does not restore a removed back end from an older record', () => {
    const list = new BackEndList();
    list.apply([{ type: 'changed', record: record('1', 4) }], 4);
    list.apply([{ type: 'gone', id: '1', revision: 5 }], 5);
    expect(list.apply([{ type: 'changed', record: record('1', 4) }], 4)).toEqual([]);
    expect(list.records.size).toBe(0);
  });

  it('is replaced only by a newer list', () => {
    const list = new BackEndList();
    list.replace({ revision: 5, records: [record('1', 2), record('2', 5)] });
    expect(list.replace({ revision: 4, records: [] })).toEqual([]);
    const changes = list.replace({ revision: 9, records: [record('2', 5)] });
    expect(changes).toEqual([{ type: 'gone', id: '1', revision: 9 }]);
  });
});

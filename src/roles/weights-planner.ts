/** Plans for agents: which versions to load, who holds their pieces, which entries to connect to, and how the engine may switch. */
import type { BackEndService } from '../fleet/configuration.js';
import type { FleetView } from '../fleet/fleet-view.js';
import {
  type BackEndRow,
  type BackEndTable,
  completeVersion,
  isInSwitch,
  loadOf,
} from '../forwarding/back-end-table.js';
import { rendezvousOrder } from '../model/random.js';
import { NO_WARM_UP, type WarmUp } from '../model/warm-up.js';
import type { EngineAgentRow } from '../peers/engine-agents.js';
import type { EngineReport, EntryReport, WeightsPlan } from '../protocol/reports.js';
import type { DeclaredPace } from '../systems/wait-policy.js';
import type { WeightsVersion } from '../weights/held-weights.js';
import { canMoveRequests } from '../weights/request-moves.js';

/** Number of entries of the agent's own zone and of other zones in a plan, as holders of pieces and as entries to connect to. */
const NEAR_ENTRIES = 3;
const FAR_ENTRIES = 2;

/** Dependencies of the planner. */
export interface WeightsPlannerOptions {
  fleet: FleetView;
  backEnds: BackEndTable;
  /** Time after its naming within which a version must be served everywhere, in milliseconds. */
  versionBound: number;
  /** Whether a back end gets no requests of any kind until this changes. */
  isOutOfService: (row: BackEndRow) => boolean;
  /** The versions that are to be distributed. */
  wanted: () => WeightsVersion[];
  /** Reports of all live entries, including this one. */
  entries: () => EntryReport[];
}

/** Creates the plans of agents. */
export class WeightsPlanner {
  readonly #options: WeightsPlannerOptions;

  constructor(options: WeightsPlannerOptions) {
    this.#options = options;
  }

  /** The current plan for the agent of `row`. */
  planFor({ address, connection, report }: EngineAgentRow): WeightsPlan {
    const { fleet, versionBound } = this.#options;
    const { zone } = connection.remote.peer;
    const configuration = fleet.routes?.configuration;
    const entries = orderByPreference(address, this.#options.entries());
    const near = entries.filter((entry) => entry.zone === zone);
    const far = entries.filter((entry) => entry.zone !== zone);
    const isHolder = ({ held }: EntryReport) => held.length > 0;
    const holders = [
      ...near.filter(isHolder).slice(0, NEAR_ENTRIES),
      ...far.filter(isHolder).slice(0, FAR_ENTRIES),
    ].map((entry) => ({ address: entry.address, isNear: entry.zone === zone, held: entry.held }));
    const toConnect = [...near.slice(0, NEAR_ENTRIES), ...far.slice(0, FAR_ENTRIES)];
    return {
      versions: this.#versions(),
      storeTime: fleet.clock.storeTimeAt(performance.now()),
      bound: versionBound,
      origin: configuration?.origin?.address ?? '',
      layers: configuration?.services.find(({ engine }) => engine !== undefined)?.engine?.layers ?? 0,
      warmUp: configuration && this.#warmUpOf(report?.address ?? ''),
      ...this.#placeOf(report?.address ?? '', zone),
      canMoveRequests: this.#canMoveRequests(report?.address ?? ''),
      declaredPace: this.#paceOf(report?.address ?? ''),
      holders,
      entries: toConnect.map((entry) => entry.address),
      hasNearEntry: near.length > 0,
      evacuation: fleet.evacuations.stateOf(zone),
      ...(this.#hasUnfinishedSwitch(report) ? { hasUnfinishedSwitch: true } : {}),
    };
  }

  /** Whether an earlier agent of the engine in `report` may have left it with weights that are not proven. */
  #hasUnfinishedSwitch(report: EngineReport | undefined): boolean {
    if (report === undefined) return false;
    const { address, start, agent = '' } = report;
    return this.#options.backEnds.hasUnfinishedSwitch(address, start ?? undefined, agent);
  }

  #versions(): WeightsPlan['versions'] {
    const named = this.#options.fleet.versions.all();
    return this.#options.wanted().map(({ model, version }) => {
      const known = named.find((one) => one.model === model && one.version === version);
      return known ?? { model, version, notBefore: Number.NEGATIVE_INFINITY };
    });
  }

  /** Index of the engine at `address` among the engines of its zone that hold a version, and their number. */
  #placeOf(address: string, zone: string): Pick<WeightsPlan, 'position' | 'engines'> {
    const rows = [...this.#options.backEnds.rows.values()];
    const addresses = rows
      .filter(({ record }) => record.zone === zone && record.layers !== undefined)
      .map(({ record }) => record.address);
    return { position: Math.max(0, addresses.sort().indexOf(address)), engines: addresses.length };
  }

  /** What the service of the engine at `address` declares; before the engine is listed, that of the first service of engines. */
  #warmUpOf(address: string): WarmUp {
    const { fleet, backEnds } = this.#options;
    const row = [...backEnds.rows.values()].find(({ record }) => record.address === address);
    const services = fleet.routes?.configuration.services ?? [];
    const service = services.find(({ name, engine }) =>
      row === undefined ? engine !== undefined : name === row.record.service,
    );
    return service?.warmUp ?? NO_WARM_UP;
  }

  /** What the service of the engine at `address` declares of its pace; undefined before the engine is listed. */
  #paceOf(address: string): DeclaredPace | undefined {
    const { fleet, backEnds } = this.#options;
    const row = [...backEnds.rows.values()].find(({ record }) => record.address === address);
    const engine = row && fleet.routes?.service(row.record.service)?.engine;
    return engine && { readTokensPerSecond: engine.readTokensPerSecond, tokenTime: engine.tokenTime };
  }

  /** Whether other engines can continue the requests that run at `address`. */
  #canMoveRequests(address: string): boolean {
    const { fleet, backEnds, isOutOfService } = this.#options;
    const ownRow = [...backEnds.rows.values()].find(({ record }) => record.address === address);
    const { routes } = fleet;
    const layers = ownRow && routes?.service(ownRow.record.service)?.engine?.layers;
    if (ownRow === undefined || routes === undefined || layers === undefined) return false;
    const routesToService = routes.configuration.routes.filter(({ targets }) =>
      targets.some(({ service }) => service === ownRow.record.service),
    );
    const engineOf = (row: BackEndRow) => ({
      version: completeVersion(row, layers),
      isSwitching: isInSwitch(row),
      switchesIn: (row.news?.switchAt ?? Number.POSITIVE_INFINITY) - performance.now(),
      slots: row.record.slots,
      load: loadOf(row),
    });
    const others = [...backEnds.ofService(ownRow.record.service)].filter(
      (row) => row !== ownRow && !isOutOfService(row),
    );
    return canMoveRequests(routesToService, engineOf(ownRow), others.map(engineOf));
  }
}

/** Orders the entries by the preference of `agent`. */
function orderByPreference(agent: string, entries: readonly EntryReport[]): EntryReport[] {
  const byAddress = new Map(entries.map((entry) => [entry.address, entry]));
  return rendezvousOrder(agent, [...byAddress.keys()]).map((address) => byAddress.get(address)!);
}

/** For each model, the version that most engines hold. */
export function servedVersions(
  services: readonly BackEndService[],
  backEnds: BackEndTable,
): WeightsVersion[] {
  return services.flatMap(({ name, engine }) => {
    if (engine === undefined) return [];
    const counts = new Map<number, number>();
    for (const { record } of backEnds.ofService(name)) {
      const version = record.layers?.version ?? 0;
      if (version > 0) counts.set(version, (counts.get(version) ?? 0) + 1);
    }
    const [most] = [...counts].sort((a, b) => b[1] - a[1]);
    return most === undefined ? [] : engine.models.map(({ name: model }) => ({ model, version: most[0] }));
  });
}

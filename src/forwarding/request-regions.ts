/** The regions in which one request may be served, while the configuration changes. */
import type { Route } from '../fleet/configuration.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { RouteTable } from '../fleet/route-table.js';
import { type AllowedRegions, commonRegions } from '../systems/allowed-regions.js';

export class RequestRegions {
  readonly #fleet: Pick<FleetView, 'routes'>;
  readonly #route: Route;
  readonly #tenant: string | undefined;
  readonly #ofAdmission: AllowedRegions;
  /** The configuration to which `#allowed` applies. */
  #table: RouteTable;
  #allowed: AllowedRegions;

  /**
   * @param table - the configuration under which the request was admitted
   * @param tenant - name of the caller's tenant
   */
  constructor(
    fleet: Pick<FleetView, 'routes'>,
    table: RouteTable,
    { route, tenant }: { route: Route; tenant: string | undefined },
  ) {
    this.#fleet = fleet;
    this.#route = route;
    this.#tenant = tenant;
    this.#ofAdmission = table.regionsOf(route, tenant);
    this.#table = table;
    this.#allowed = this.#ofAdmission;
  }

  /** What both the configuration of the admission and the active one allow; the active one may have dropped route or tenant. */
  get allowed(): AllowedRegions {
    const active = this.#fleet.routes;
    if (active === undefined || active === this.#table) return this.#allowed;
    const { host, pathPrefix } = this.#route;
    const current = active.regionsOf(active.match(host, pathPrefix), this.#tenant);
    this.#table = active;
    this.#allowed = commonRegions([this.#ofAdmission, current]);
    return this.#allowed;
  }
}

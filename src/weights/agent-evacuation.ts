/**
 * Whether the operator has taken the agent's zone out of service, as its plans tell. Plans come from several entries and from
 * the store; the statement at the highest store revision is in force.
 */
import { EvacuatedZones } from '../fleet/evacuated-zones.js';
import type { Log } from '../observability/log.js';
import type { ZoneEvacuation } from '../protocol/reports.js';

export class AgentEvacuation {
  readonly #zone: string;
  readonly #log: Log;
  readonly #zones = new EvacuatedZones();

  constructor(zone: string, log: Log) {
    this.#zone = zone;
    this.#log = log;
  }

  get isInForce(): boolean {
    return this.#zones.has(this.#zone);
  }

  /** Applies the statement of a plan; returns whether the zone went out of service or was taken back. */
  apply(statement: ZoneEvacuation | undefined): boolean {
    // The codec turns undefined into null.
    if (statement == null || statement.zone !== this.#zone || !this.#zones.apply(statement)) return false;
    const { zone, revision, isEvacuated } = statement;
    this.#log.info(isEvacuated ? 'zone evacuated' : 'zone taken back', { zone, revision, source: 'plan' });
    return true;
  }
}

/** The engine agents connected to an entry: receives their reports and sends them their plans. */
import type { Startable } from '../model/startable.js';
import type { Connection } from '../protocol/connection.js';
import type { EngineReport, WeightsPlan } from '../protocol/reports.js';

/** Interval at which plans are sent, in milliseconds. */
const PLAN_INTERVAL = 700;

/** A connected agent. */
export interface EngineAgentRow {
  connection: Connection;
  /** `host:port` at which it serves pieces. */
  address: string;
  report: EngineReport | undefined;
  /** When the report arrived, in milliseconds of the monotonic clock. */
  reportedAt: number;
}

/** Tracks the connected agents, their reports and plans. */
export class EngineAgents implements Startable {
  readonly rows = new Map<string, EngineAgentRow>();
  readonly #planFor: (row: EngineAgentRow) => WeightsPlan;
  readonly #onReport: (report: EngineReport, before: EngineReport | undefined) => void;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param planFor - creates the current plan of an agent
   * @param onReport - called with each report of an agent and the one before it
   */
  constructor(
    planFor: (row: EngineAgentRow) => WeightsPlan,
    onReport: (report: EngineReport, before: EngineReport | undefined) => void,
  ) {
    this.#planFor = planFor;
    this.#onReport = onReport;
  }

  async start(): Promise<void> {
    this.#timer = setInterval(() => this.sendPlans(), PLAN_INTERVAL);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    for (const { connection } of this.rows.values()) connection.close();
  }

  accept(connection: Connection): void {
    const { id, address } = connection.remote.peer;
    const row: EngineAgentRow = { connection, address, report: undefined, reportedAt: 0 };
    this.rows.set(id, row);
    connection.onClose = () => {
      if (this.rows.get(id) === row) this.rows.delete(id);
    };
    connection.handleMessages((message, stamp) => {
      if (message.type !== 'engineReport') return;
      const previous = row.report;
      const report = { ...message.report, agent: id, stamp };
      row.report = report;
      row.reportedAt = performance.now();
      this.#onReport(report, previous);
    });
    this.#sendPlan(row);
  }

  /** Sends every agent its plan. */
  sendPlans(): void {
    for (const row of this.rows.values()) this.#sendPlan(row);
  }

  /**
   * The latest reports with their age, by which the times until a switch and until the engine is warm are reduced. If a report were
   * passed on unchanged, it would count from the moment of forwarding: other entries would send requests to an engine for up to
   * a second too long, the time between two reports, and one whose agent has gone silent would never be outdated.
   */
  reports(): EngineReport[] {
    const now = performance.now();
    return [...this.rows.values()].flatMap(({ report, reportedAt }) => {
      if (report === undefined) return [];
      const age = now - reportedAt;
      // The codec turns undefined in lists into null.
      const left = (time: number | undefined) => (time == null ? undefined : Math.max(0, time - age));
      return { ...report, age, switchesIn: left(report.switchesIn), coldLeft: left(report.coldLeft) };
    });
  }

  #sendPlan(row: EngineAgentRow): void {
    row.connection.send({ type: 'weightsPlan', plan: this.#planFor(row) });
  }
}

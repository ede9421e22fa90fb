/** The agents of engines that are connected to an entry: what they report, and the plan that they are told. */
import type { Startable } from '../model/startable.js';
import type { Connection } from '../protocol/connection.js';
import type { EngineReport, WeightsPlan } from '../protocol/reports.js';

/** Time between two tellings of the plan, in milliseconds. */
const PLAN_INTERVAL = 700;

/** A connected agent. */
export interface EngineAgentRow {
  connection: Connection;
  /** `host:port` at which it serves pieces. */
  address: string;
  report: EngineReport | undefined;
  /** When that came, in milliseconds of the steady clock. */
  reportedAt: number;
}

/** The agents. */
export class EngineAgents implements Startable {
  readonly rows = new Map<string, EngineAgentRow>();
  readonly #planFor: (row: EngineAgentRow) => WeightsPlan;
  readonly #onReport: (report: EngineReport, before: EngineReport | undefined) => void;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param planFor - what an agent is to know now
   * @param onReport - takes what an agent reports, with what it reported before
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
    connection.handleMessages((message) => {
      if (message.type !== 'engineReport') return;
      const previous = row.report;
      row.report = message.report;
      row.reportedAt = performance.now();
      this.#onReport(message.report, previous);
    });
    this.#sendPlan(row);
  }

  /** Tells every agent its plan. */
  sendPlans(): void {
    for (const row of this.rows.values()) this.#sendPlan(row);
  }

  /**
   * The latest reports, as of now: passed on as it came, the time to a switch would begin anew here, and others would send to
   * an engine for up to a second more, the time between two reports.
   */
  reports(): EngineReport[] {
    const now = performance.now();
    return [...this.rows.values()].flatMap(({ report, reportedAt }) => {
      if (report === undefined) return [];
      // The codec carries no undefined in lists.
      if (report.switchesIn === undefined || report.switchesIn === null) return report;
      return { ...report, switchesIn: Math.max(0, report.switchesIn - (now - reportedAt)) };
    });
  }

  #sendPlan(row: EngineAgentRow): void {
    row.connection.send({ type: 'weightsPlan', plan: this.#planFor(row) });
  }
}

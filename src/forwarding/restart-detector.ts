/**
 * Detects that a back end has started anew before its record tells, which may take as long as the store is unavailable. If a back
 * end closes a connection unannounced, it is probed: its health answer tells whether it is cold, and a refused connection that
 * its process has ended. Then it is probed until it accepts connections again. A back end that only closes connections loses
 * nothing by it.
 *
 * Only services whose back ends are cold after a start are probed, and no engine whose agent reports its starts. Times are in
 * milliseconds of the monotonic clock.
 */
import type { FleetView } from '../fleet/fleet-view.js';
import type { Startable } from '../model/startable.js';
import type { Log } from '../observability/log.js';
import type { Metrics } from '../observability/metrics.js';
import type { ConnectionLoss } from './back-end-connection.js';
import { type HealthAnswer, type ProbeResult, probeConnection, probeHealth } from './back-end-probe.js';
import type { BackEndRow, BackEndTable } from './back-end-table.js';
import type { BackEndWarmUps } from './back-end-warm-ups.js';
import type { HeaderNames } from './header-names.js';

/** Pause between two probes of a back end, in milliseconds; it doubles up to the longest one. */
const FIRST_PAUSE = 50;
const LONGEST_PAUSE = 800;

export interface RestartDetectorOptions {
  fleet: Pick<FleetView, 'routes'>;
  table: Pick<BackEndTable, 'rows'>;
  warmUps: Pick<BackEndWarmUps, 'noteStopped' | 'noteAccepting'>;
  names: Pick<HeaderNames, 'answeringBackEnd' | 'coldLeft'>;
  log: Log;
  metrics: Metrics;
}

/** Probes of one back end in progress. */
interface Probing {
  /** Whether it closed another connection since the latest probe began. */
  isRepeated: boolean;
}

/** Detects the restarts of the back ends of one entry. */
export class RestartDetector implements Startable {
  readonly #options: RestartDetectorOptions;
  readonly #probing = new Map<BackEndRow, Probing>();
  readonly #counts: Record<ProbeResult, number> = { accepted: 0, refused: 0, silent: 0 };
  #isStopped = true;

  constructor(options: RestartDetectorOptions) {
    this.#options = options;
    options.metrics.add([
      {
        name: 'restart_probes',
        help: 'Probes of back ends since the start, after one closed a connection unannounced, by result',
        label: 'result',
        read: () => ({ ...this.#counts }),
      },
    ]);
  }

  async start(): Promise<void> {
    this.#isStopped = false;
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
  }

  /** A back end has closed a connection unannounced, or refuses connections. */
  noteLost(row: BackEndRow, loss: ConnectionLoss): void {
    if (this.#isStopped || !this.#isAffected(row)) return;
    if (loss === 'refused') this.#noteRefused(row);
    const probing = this.#probing.get(row);
    if (probing !== undefined) probing.isRepeated = true;
    else void this.#probeUntilKnown(row);
  }

  #isAffected({ record, agent }: BackEndRow): boolean {
    const isAgentResponsive = agent?.isResponsive(performance.now()) === true;
    return !isAgentResponsive && this.#options.fleet.routes?.service(record.service)?.warmUp !== undefined;
  }

  async #probeUntilKnown(row: BackEndRow): Promise<void> {
    const probing: Probing = { isRepeated: false };
    this.#probing.set(row, probing);
    let isRefused = false;
    for (let pause = FIRST_PAUSE; ; pause = Math.min(2 * pause, LONGEST_PAUSE)) {
      probing.isRepeated = false;
      const { connection, coldLeft } = await this.#probe(row);
      this.#counts[connection]++;
      if (connection === 'refused') {
        isRefused = true;
        this.#noteRefused(row);
      } else if (connection === 'accepted') {
        isRefused = false;
        this.#options.warmUps.noteAccepting(row.record, coldLeft, performance.now());
      }
      await new Promise((resolve) => setTimeout(resolve, pause).unref());
      const isListed = this.#options.table.rows.get(row.record.id) === row;
      if (this.#isStopped || !isListed || !(isRefused || probing.isRepeated)) break;
    }
    this.#probing.delete(row);
  }

  #noteRefused({ record }: BackEndRow): void {
    if (!this.#options.warmUps.noteStopped(record)) return;
    this.#options.log.info('back end stopped', { backEnd: record.id, start: record.start });
  }

  async #probe({ record }: BackEndRow): Promise<HealthAnswer> {
    const path = this.#options.fleet.routes?.service(record.service)?.healthPath;
    if (path !== undefined) return probeHealth(record, path, this.#options.names);
    return { connection: await probeConnection(record.address), coldLeft: undefined };
  }
}

/**
 * Exchanges configurations with other entries. Between processes that understand it, a configuration travels as the difference from
 * the one before: the whole document, sent to each entry of a zone for each change, fills the links on which the next change and
 * all other messages wait.
 */
import type { FleetView } from '../fleet/fleet-view.js';
import type { RecordDecoder } from '../fleet/record-decoder.js';
import type { Log } from '../observability/log.js';
import type { MetricSource } from '../observability/metrics.js';
import {
  type ConfigurationUpdate,
  configurationUpdate,
  documentOf,
  type RevisedDocument,
} from '../protocol/configuration-update.js';
import type { PeerConnection } from '../protocol/connection.js';
import type { EntryReport } from '../protocol/reports.js';
import { FleetRequestGate } from './fleet-request-gate.js';

/** Number of latest documents that are kept as bases of differences. */
const KEPT_DOCUMENTS = 4;

/**
 * An entry that starts leaves the operator's table to its peers for this long, in milliseconds: until they have reported, and, once one
 * has been asked for the configuration, until it should have answered.
 */
const FIRST_REPORT_PATIENCE = 150;
const FIRST_ANSWER_PATIENCE = 700;

export interface ConfigurationExchangeOptions {
  fleet: FleetView;
  decoder: RecordDecoder;
  /** Zone of this entry. */
  zone: string;
  /** Time without an answer after which another entry is asked, in milliseconds. */
  answerTimeout?: number | undefined;
  log: Log;
}

/** Where a message came from. */
export interface Sender {
  address: string;
  connection: PeerConnection;
}

/** Sends, requests and applies configurations. */
export class ConfigurationExchange {
  readonly #options: ConfigurationExchangeOptions;
  readonly #gate: FleetRequestGate;
  /** The latest request was for the whole document. */
  #requestedWhole = false;
  /** The latest documents, by revision, the oldest first. */
  readonly #documents = new Map<number, Buffer>();
  /** Updates to the latest document by the revision of their base. */
  readonly #updates = new Map<number, ConfigurationUpdate>();
  readonly #received = { difference: 0, whole: 0, unusable: 0 };
  readonly #startedAt = performance.now();

  constructor(options: ConfigurationExchangeOptions) {
    this.#options = options;
    this.#gate = new FleetRequestGate(options.answerTimeout);
    options.fleet.listen({ onConfiguration: () => this.#keepDocument() });
    this.#keepDocument();
  }

  /** Time for which peers may still provide the configuration to this process, which has just started, in milliseconds. */
  timeUntilFirstRead(): number {
    const now = performance.now();
    const patience = this.#gate.isPending(now) ? FIRST_ANSWER_PATIENCE : FIRST_REPORT_PATIENCE;
    return Math.max(0, this.#startedAt + patience - now);
  }

  get metric(): MetricSource {
    return {
      name: 'configurations_received_total',
      help: 'Configurations from other entries: as a difference, whole, and those that could not be used',
      label: 'form',
      read: () => ({ ...this.#received }),
    };
  }

  /** The update to `next` for entries that have the one before it; whole if there is none. This entry may have `next` already. */
  updateTo(next: RevisedDocument): ConfigurationUpdate {
    const revision = Math.max(0, ...[...this.#documents.keys()].filter((kept) => kept < next.revision));
    const document = this.#documents.get(revision);
    return configurationUpdate(next, document && { revision, document });
  }

  /**
   * Requests a newer configuration from the entry that reports it, unless it is on its way.
   * @param recipient - whether it takes updates, and the index of this entry among those of its zone that take turns in asking other
   *   zones
   */
  requestNewer(
    connection: PeerConnection,
    report: EntryReport,
    { place, takesUpdates }: { place: number; takesUpdates: boolean },
  ): void {
    const { fleet, zone } = this.#options;
    const { configurationRevision: ownRevision } = fleet;
    fleet.noteRemoteConfigurationRevision(report.configurationRevision);
    if (report.configurationRevision <= ownRevision) return;
    const conditions = {
      ownRevision,
      isNear: report.zone === zone,
      place,
      isSmall: takesUpdates && ownRevision > 0,
      now: performance.now(),
    };
    if (!this.#gate.tryRequest(connection, conditions)) return;
    this.#requestedWhole = !takesUpdates || ownRevision === 0;
    if (takesUpdates) connection.send({ type: 'configurationWanted', base: ownRevision });
    else connection.send({ type: 'fleetWanted', configuration: true, backEnds: false });
  }

  /** Answers an entry that has the configuration of revision `base`; 0 if it has none. */
  sendUpdate(connection: PeerConnection, base: number): void {
    const current = this.#current();
    if (current === undefined || base >= current.revision) return;
    connection.send({ type: 'configurationUpdate', update: this.#updateFrom(base, current) });
  }

  /** Applies an update; returns whether it was newer. What does not fit is requested whole from its sender. */
  applyUpdate(update: ConfigurationUpdate, { address, connection }: Sender): boolean {
    const { fleet, log } = this.#options;
    fleet.noteRemoteConfigurationRevision(update.revision);
    if (update.revision <= fleet.configurationRevision) {
      this.#gate.noteAnswer();
      return false;
    }
    const document = documentOf(update, this.#current());
    if (!document.ok) {
      this.#received.unusable++;
      log.info('configuration update does not fit, requesting the document', {
        revision: update.revision,
        base: update.base,
        from: address,
        error: document.error.type,
      });
      if (update.base !== 0) this.#requestWhole(connection);
      return false;
    }
    this.#gate.noteAnswer();
    const form = update.base === 0 ? 'whole' : 'difference';
    this.#received[form]++;
    return this.#apply(document.value, { from: address, bytes: update.body.byteLength, form });
  }

  /** Requests the whole document, unless it is on its way. A pending request for a difference would bring what does not fit. */
  #requestWhole(connection: PeerConnection): void {
    const now = performance.now();
    if (this.#requestedWhole && this.#gate.isPending(now)) return;
    this.#gate.noteAnswer();
    if (!this.#gate.requestNow(connection, now)) return;
    this.#requestedWhole = true;
    connection.send({ type: 'configurationWanted', base: 0 });
  }

  /** Applies a document from an entry that sends no updates. */
  applyDocument(document: Buffer, from: string): boolean {
    this.#gate.noteAnswer();
    this.#received.whole++;
    return this.#apply(document, { from, bytes: document.byteLength, form: 'whole' });
  }

  /** @param origin - for the log */
  #apply(document: Buffer, origin: { from: string; bytes: number; form: string }): boolean {
    const { fleet, decoder, log } = this.#options;
    const decoded = decoder.configuration(document);
    if (!decoded.ok) {
      log.warn('configuration of a peer left out', { from: origin.from, ...decoded.error });
      return false;
    }
    if (!fleet.applyConfiguration(decoded.value)) return false;
    log.info('configuration taken', { revision: fleet.configurationRevision, ...origin });
    return true;
  }

  #current(): RevisedDocument | undefined {
    const { document, configurationRevision: revision } = this.#options.fleet;
    return document === undefined ? undefined : { revision, document };
  }

  #updateFrom(base: number, current: RevisedDocument): ConfigurationUpdate {
    const document = this.#documents.get(base);
    const usableBase = document === undefined || base === current.revision ? 0 : base;
    const known = this.#updates.get(usableBase);
    if (known !== undefined) return known;
    const update = configurationUpdate(
      current,
      usableBase === 0 ? undefined : { revision: base, document: document! },
    );
    this.#updates.set(usableBase, update);
    return update;
  }

  #keepDocument(): void {
    const current = this.#current();
    if (current === undefined) return;
    this.#updates.clear();
    this.#documents.set(current.revision, current.document);
    const [oldest] = this.#documents.keys();
    if (this.#documents.size > KEPT_DOCUMENTS) this.#documents.delete(oldest);
  }
}

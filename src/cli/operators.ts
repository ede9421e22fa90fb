/** The operator commands: apply and inspect declarations, and show progress and timelines. */
import { randomUUID } from 'node:crypto';
import { Command, Option } from 'clipanion';
import { stampTime } from '../model/hybrid-clock.js';
import { mergeTimelines, type TimelineEntry } from '../observability/timeline.js';
import type { AgentStatus, EntryInfo } from '../protocol/messages.js';
import type { DeploymentStatus } from '../resources/deployment-status.js';
import type { ApplyAnswer, ResolveAnswer } from '../resources/resource-api.js';
import type { ModelDeployment } from '../resources/schemas.js';
import { ThistlewayCommand } from './command.js';
import { formatPlan, type PlannedChange, plan, readDeclarations } from './declarations.js';
import { EntryClient } from './entry-client.js';
import { CommandFailure, EXIT_CONFLICT, EXIT_UNKNOWN, EXIT_USAGE } from './errors.js';

const WAIT_INTERVAL = 500;
/** Maximum number of attempts to resolve an operation whose answer was lost, one per second. */
const MAX_RESOLVE_ATTEMPTS = 30;

/** Base class of the commands that call an entry. */
abstract class OperatorCommand extends ThistlewayCommand {
  entry = Option.String('--entry', '127.0.0.1:8080', { description: 'address of an entry (host:port)' });

  protected get client(): EntryClient {
    return new EntryClient(this.entry);
  }

  protected print(text: string): void {
    this.context.stdout.write(`${text}\n`);
  }
}

/** `thistleway diff -f PATH`. */
export class DiffCommand extends OperatorCommand {
  static override paths = [['diff']];
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'show what apply would change; exit code 1 if there are changes',
  });
  files = Option.String('-f,--file', { required: true, description: 'file or folder of declarations' });
  prune = Option.Boolean('--prune', false, { description: 'also delete what is not declared' });

  async perform(): Promise<number> {
    const declarations = readDeclarations(this.files);
    const { items } = await this.client.resources();
    const changes = plan(declarations, items, this.prune);
    this.print(formatPlan(changes));
    return changes.some((change) => change.action !== 'keep') ? 1 : 0;
  }
}

/** `thistleway apply -f PATH [--prune] [--wait]`. */
export class ApplyCommand extends OperatorCommand {
  static override paths = [['apply']];
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'apply declarations as one transaction',
    details:
      'Exit codes: 0 in force, 2 bad declarations, 3 conflict with another operator, 4 outcome unknown or not reached in time.',
  });
  files = Option.String('-f,--file', { required: true, description: 'file or folder of declarations' });
  prune = Option.Boolean('--prune', false, { description: 'also delete what is not declared' });
  wait = Option.Boolean('--wait', false, { description: 'wait until all replicas are ready' });
  timeout = Option.String('--timeout', '600', { description: 'seconds to wait' });

  async perform(): Promise<number> {
    const declarations = readDeclarations(this.files);
    const { items } = await this.client.resources();
    const changes = plan(declarations, items, this.prune).filter((change) => change.action !== 'keep');
    if (changes.length === 0) this.print('nothing to change');
    else this.print(`${formatPlan(changes)}\naccepted at revision ${await this.#apply(changes)}`);
    const deployments = declarations.filter(({ value }) => value.kind === 'ModelDeployment');
    if (this.wait) await this.#waitUntilReady(deployments.map(({ value }) => value as ModelDeployment));
    return 0;
  }

  async #apply(changes: PlannedChange[]): Promise<number> {
    const operationId = randomUUID();
    const kept = changes.filter((change) => change.value !== undefined);
    const answer = await this.client.apply({
      operationId,
      resources: kept.map(({ value, revision }) => ({ resource: value, revision })),
      deletes: changes
        .filter((change) => change.action === 'delete')
        .map(({ key, revision }) => ({ key, revision })),
    });
    return this.#revisionOf(answer, operationId);
  }

  async #revisionOf(answer: ApplyAnswer, operationId: string): Promise<number> {
    switch (answer.type) {
      case 'accepted':
        return answer.revision;
      case 'rejected': {
        const lines = answer.problems.map(
          ({ resource, field, message }) => `${resource} ${field}: ${message}`,
        );
        throw new CommandFailure(lines.join('\n'), EXIT_USAGE);
      }
      case 'conflict': {
        const lines = answer.rows.map(
          ({ key, revision, expected }) =>
            `${key}: changed by another operator (revision ${revision}, not ${expected})`,
        );
        throw new CommandFailure(lines.join('\n'), EXIT_CONFLICT);
      }
      case 'unavailable':
        throw new CommandFailure(`not accepted; retry in ${answer.retryAfter} ms`, EXIT_UNKNOWN);
      case 'unknown':
        return this.#resolve(operationId);
    }
  }

  /** Treats a failed call as `unavailable`, so that it is retried. */
  async #tryResolve(operationId: string): Promise<ResolveAnswer> {
    try {
      return await this.client.resolve(operationId);
    } catch (cause) {
      if (cause instanceof CommandFailure) return { type: 'unavailable', retryAfter: 1_000 };
      throw cause;
    }
  }

  /** Resolves an operation after the platform's answer was lost; returns its revision if it was accepted. */
  async #resolve(operationId: string): Promise<number> {
    for (let attempt = 0; attempt < MAX_RESOLVE_ATTEMPTS; attempt++) {
      const found = await this.#tryResolve(operationId);
      if (found.type === 'accepted') return found.revision;
      if (found.type === 'notAccepted') throw new CommandFailure('not accepted; apply again', EXIT_UNKNOWN);
      await pause(1_000);
    }
    throw new CommandFailure(`outcome of operation ${operationId} unknown`, EXIT_UNKNOWN);
  }

  /** Waits until the entry knows the declared versions and all their replicas are ready. */
  async #waitUntilReady(declared: ModelDeployment[]): Promise<void> {
    const endsAt = performance.now() + Number(this.timeout) * 1_000;
    while (performance.now() < endsAt) {
      const { deployments } = await this.client.status();
      const ownDeployments = declared.flatMap(({ metadata, spec }) => {
        return (
          deployments.find(({ name, version }) => name === metadata.name && version === spec.version) ?? []
        );
      });
      for (const deployment of ownDeployments) this.print(formatStatus(deployment));
      if (
        ownDeployments.length === declared.length &&
        ownDeployments.every(({ waitsFor }) => waitsFor === '')
      )
        return;
      await pause(WAIT_INTERVAL);
    }
    throw new CommandFailure('not all replicas became ready in time', EXIT_UNKNOWN);
  }
}

/** `thistleway get [KIND]`. */
export class GetCommand extends OperatorCommand {
  static override paths = [['get']];
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'print the resources in force',
  });
  kind = Option.String({ required: false });

  async perform(): Promise<number> {
    const { items } = await this.client.resources(this.kind);
    this.print(JSON.stringify(items, undefined, 2));
    return 0;
  }
}

/** `thistleway delete KIND/NAME`. */
export class DeleteCommand extends OperatorCommand {
  static override paths = [['delete']];
  static override usage = Command.Usage({ category: 'Operators', description: 'delete a resource' });
  key = Option.String({ required: true });

  async perform(): Promise<number> {
    const { items } = await this.client.resources();
    const found = items.find((item) => item.key === this.key);
    if (found === undefined) throw new CommandFailure(`no such resource: ${this.key}`, EXIT_USAGE);
    const { key, revision } = found;
    const answer = await this.client.apply({
      operationId: randomUUID(),
      resources: [],
      deletes: [{ key, revision }],
    });
    if (answer.type === 'accepted') return 0;
    throw new CommandFailure(
      JSON.stringify(answer),
      answer.type === 'conflict' ? EXIT_CONFLICT : EXIT_UNKNOWN,
    );
  }
}

/** `thistleway status`. */
export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'show the progress of deployments',
  });

  async perform(): Promise<number> {
    const { revision, deployments } = await this.client.status();
    this.print(`revision ${revision}`);
    for (const deployment of deployments) this.print(formatStatus(deployment));
    return 0;
  }
}

/** `thistleway watch`. */
export class WatchCommand extends OperatorCommand {
  static override paths = [['watch']];
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'print changes of resources as JSON lines until interrupted',
  });
  since = Option.String('--since', '0', { description: 'revision after which to begin' });

  async perform(): Promise<number> {
    const { openHttp } = await import('../clients/http.js');
    const url = `http://${this.entry}/apis/v1/watch?since=${this.since}`;
    const interrupted = new AbortController();
    process.once('SIGINT', () => interrupted.abort());
    const { signal } = interrupted;
    const stream = await openHttp({ service: 'entry', method: 'GET', url, signal });
    if (stream.statusCode === 410) {
      const reason = `the entry no longer knows the deletions after revision ${this.since}`;
      throw new CommandFailure(`${reason}; watch again from revision 0`, EXIT_UNKNOWN);
    }
    try {
      for await (const part of stream.body) this.context.stdout.write(part);
    } catch (cause) {
      if (!signal.aborted) throw new CommandFailure(`watch failed: ${String(cause)}`, EXIT_UNKNOWN);
    }
    return 0;
  }
}

/** `thistleway schema KIND`. */
export class SchemaCommand extends ThistlewayCommand {
  static override paths = [['schema']];
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'print the JSON Schema of a kind of resource, for editors',
  });
  kind = Option.String({ required: true });

  async perform(): Promise<number> {
    const { jsonSchemaOf, RESOURCE_KINDS } = await import('../resources/json-schemas.js');
    const kind = RESOURCE_KINDS.find((known) => known === this.kind);
    if (kind === undefined) {
      throw new CommandFailure(
        `unknown kind "${this.kind}"; available: ${RESOURCE_KINDS.join(', ')}`,
        EXIT_USAGE,
      );
    }
    this.context.stdout.write(`${JSON.stringify(jsonSchemaOf(kind), undefined, 2)}\n`);
    return 0;
  }
}

/** `thistleway drain ADDRESS`. */
export class DrainCommand extends ThistlewayCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'stop an entry (callers address) or agent (operators address) from accepting new work',
  });
  address = Option.String({ required: true });

  async perform(): Promise<number> {
    await new EntryClient(this.address).post('/drain');
    this.context.stdout.write(`${this.address} is draining\n`);
    return 0;
  }
}

/** `thistleway timeline`. */
export class TimelineCommand extends OperatorCommand {
  static override paths = [['timeline']];
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'print the events of all processes in causal order',
  });
  json = Option.Boolean('--json', false, { description: 'print one JSON object per line' });

  async perform(): Promise<number> {
    const { entries, agents } = await this.client.get<{ entries: EntryInfo[]; agents: AgentStatus[] }>(
      '/status',
    );
    const addresses = [
      ...entries.map((entry) => entry.callerAddress),
      ...agents.map((agent) => agent.operatorAddress),
    ];
    const timelines = await Promise.all(addresses.map((address) => this.#fetch(address)));
    for (const entry of mergeTimelines(timelines))
      this.print(this.json ? JSON.stringify(entry) : formatEvent(entry));
    return 0;
  }

  async #fetch(address: string): Promise<TimelineEntry[]> {
    try {
      return await new EntryClient(address).get<TimelineEntry[]>('/timeline');
    } catch (cause) {
      this.context.stderr.write(`${address}: cannot read timeline: ${String(cause)}\n`);
      return [];
    }
  }
}

function formatEvent({ stamp, process, event }: TimelineEntry): string {
  const { type, ...fields } = event;
  const details = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
  return [new Date(stampTime(stamp)).toISOString(), process.padEnd(26), type, ...details].join(' ');
}

function formatStatus(status: DeploymentStatus): string {
  const { name, replicasReady, replicasWanted, bytesHeld, bytesNeeded, waitsFor, version } = status;
  const share = bytesNeeded === 0 ? 0 : Math.floor((100 * bytesHeld) / bytesNeeded);
  const state = waitsFor === '' ? 'complete' : `waits for ${waitsFor}`;
  return `${name} ${version.slice(0, 12)}: ${replicasReady}/${replicasWanted} ready, ${share}% of bytes, ${state}`;
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

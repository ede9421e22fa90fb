/**
 * A burst in virtual time: the real decision systems of every machine and of the coordinator, on simulated
 * links. Message delay, verification time and the sizes of control messages are part of it.
 */
import { ChunkSet } from '../../src/model/chunk-set.js';
import { hash32, type Random, seededRandom } from '../../src/model/random.js';
import { encode } from '../../src/protocol/codec.js';
import { type Message, transferKeyOf } from '../../src/protocol/messages.js';
import type { DistributionCommand } from '../../src/systems/distribution/commands.js';
import {
  BurstCoordinator,
  type CoordinatorCommand,
  type CoordinatorLimits,
} from '../../src/systems/distribution/coordinator.js';
import type { DistributionLimits } from '../../src/systems/distribution/limits.js';
import type { DistributionStrategy } from '../../src/systems/distribution/neighbour-selection.js';
import { DistributionNode } from '../../src/systems/distribution/node.js';
import type { Objective, PeerInfo } from '../../src/systems/distribution/transfer.js';
import { MACHINE_COPIES_PER_WINDOW, ORIGIN_COPIES_PER_WINDOW } from '../burst-bound.js';
import { BurstAudit } from './burst-audit.js';
import { type Duplex, SimulatedLink } from './link.js';
import { VirtualClock } from './virtual-clock.js';

/** Bytes that TCP/IP and WebSocket framing add to a message. */
const FRAME_OVERHEAD_BYTES = 46;
/** A causal stamp of the usual size. */
const STAMP = 1.8e15;
/** Events of one machine within this time are handled by one tick, in milliseconds. */
const TICK_DELAY = 2;
/** Each machine ticks at least this often, in milliseconds. */
const TICK_INTERVAL = 50;
/** One-way delays in milliseconds (the brief: about 1 between zones, 2 to 3 between regions). */
const ZONE_DELAY = 1;
const REGION_DELAY = 3;
/** Rate at which a machine verifies chunks, in bytes a millisecond (SHA-256 on one core). */
const VERIFY_BYTES_PER_MILLISECOND = 1_000_000;
/** Time until the others notice that a machine's connections are gone, in milliseconds. */
const LOSS_DETECTION = 200;

/** What a burst is simulated with. */
export interface BurstSimulationInit {
  machines: number;
  regions: number;
  zonesPerRegion: number;
  chunkCount: number;
  chunkBytes: number;
  windowMilliseconds: number;
  duplex: Duplex;
  objective: Objective;
  strategy: DistributionStrategy;
  seed: number;
  limits: DistributionLimits;
  coordinatorLimits: CoordinatorLimits;
}

/** A machine in the simulation. */
export interface SimulatedMachine {
  info: PeerInfo;
  node: DistributionNode;
  link: SimulatedLink;
  alive: boolean;
  /** Share of the chunks it sends that are corrupted. */
  corruption: number;
  /** Chunks that truly lie there intact; kept for the audit. */
  intact: ChunkSet;
  tickScheduled: boolean;
  completedAt: number | undefined;
}

/** Version names used by the simulation; a second one is used where the version changes in mid-transfer. */
export const SIMULATED_VERSION = 'a'.repeat(64);

/** A running simulation. Fault cases act on its public members. */
export class BurstSimulation {
  readonly clock = new VirtualClock();
  readonly audit = new BurstAudit();
  readonly machines = new Map<string, SimulatedMachine>();
  readonly random: Random;
  readonly init: BurstSimulationInit;
  readonly allowedPlaces: ReadonlySet<string>;
  readonly originLink: SimulatedLink;
  /** False once the origin does not answer any more. */
  originAnswers = true;
  /** False while no coordinator is reachable. */
  coordinatorAnswers = true;
  readonly #sizes = new Map<string, number>();
  #coordinator: BurstCoordinator;
  #coordinatorTickScheduled = false;
  #nextMachine = 0;

  constructor(init: BurstSimulationInit) {
    this.init = init;
    this.random = seededRandom(init.seed);
    this.allowedPlaces = new Set(Array.from({ length: init.regions }, (_, region) => `place-${region}`));
    const windowRate = (init.chunkCount * init.chunkBytes) / init.windowMilliseconds;
    this.originLink = new SimulatedLink(windowRate * ORIGIN_COPIES_PER_WINDOW, init.duplex);
    this.#coordinator = this.#createCoordinator();
    for (let index = 0; index < init.machines; index++) this.addMachine();
    this.#scheduleCoordinatorTimer();
  }

  /** Adds a machine to the burst; `place` overrides the place that its number gives. */
  addMachine(place?: string): SimulatedMachine {
    const { init } = this;
    const index = this.#nextMachine++;
    const region = index % init.regions;
    const zone = Math.floor(index / init.regions) % init.zonesPerRegion;
    const info: PeerInfo = {
      id: `machine-${index}`,
      address: `machine-${index}`,
      place: place ?? `place-${region}`,
      region: `region-${region}`,
      zone: `zone-${region}-${zone}`,
    };
    const windowRate = (init.chunkCount * init.chunkBytes) / init.windowMilliseconds;
    const machine: SimulatedMachine = {
      info,
      node: new DistributionNode({ limits: init.limits, random: seededRandom(init.seed ^ hash32(info.id)) }),
      link: new SimulatedLink(windowRate * MACHINE_COPIES_PER_WINDOW, init.duplex),
      alive: true,
      corruption: 0,
      intact: new ChunkSet(init.chunkCount),
      tickScheduled: false,
      completedAt: undefined,
    };
    this.machines.set(info.id, machine);
    this.#startOn(machine);
    return machine;
  }

  /** Ends a machine: its connections break, and what it held is gone. */
  killMachine(machine: SimulatedMachine): void {
    machine.alive = false;
    this.clock.schedule(this.clock.now + LOSS_DETECTION, () => {
      this.#coordinator.onLeave(machine.info.id);
      for (const other of this.machines.values()) {
        other.node.onPeerLost(machine.info.id, this.clock.now);
        this.#scheduleTick(other);
      }
    });
  }

  /** Replaces the coordinator by a new one that knows nothing; machines join it after `delay` ms. */
  replaceCoordinator(delay: number): void {
    this.coordinatorAnswers = false;
    this.clock.schedule(this.clock.now + delay, () => {
      this.coordinatorAnswers = true;
      this.#coordinator = this.#createCoordinator();
      for (const machine of this.machines.values()) {
        if (machine.alive && this.allowedPlaces.has(machine.info.place)) this.#join(machine);
      }
    });
  }

  /** True when every live machine in an allowed place has the whole version. */
  get complete(): boolean {
    for (const machine of this.machines.values()) {
      if (!machine.alive || !this.allowedPlaces.has(machine.info.place)) continue;
      if (machine.completedAt === undefined) return false;
    }
    return true;
  }

  /** Runs until all machines are complete, or until `limit` milliseconds of virtual time. */
  run(limit: number): void {
    this.clock.runUntil(limit, () => this.complete);
  }

  #createCoordinator(): BurstCoordinator {
    const { chunkCount, objective, strategy, coordinatorLimits, seed } = this.init;
    const random = seededRandom(seed + 1);
    return new BurstCoordinator({ chunkCount, objective, strategy, limits: coordinatorLimits, random });
  }

  #startOn(machine: SimulatedMachine): void {
    machine.node.startTransfer(
      {
        version: SIMULATED_VERSION,
        chunkCount: this.init.chunkCount,
        priority: 0,
        allowedPlaces: this.allowedPlaces,
      },
      this.clock.now,
    );
    if (this.allowedPlaces.has(machine.info.place)) this.#join(machine);
    this.#scheduleTimer(machine);
  }

  #join(machine: SimulatedMachine): void {
    const have = machine.node.transfers.get(SIMULATED_VERSION)!.have;
    const { chunkCount, objective } = this.init;
    const message: Message = {
      type: 'join',
      version: SIMULATED_VERSION,
      chunkCount,
      objective,
      have: have.toBytes(),
    };
    this.#toCoordinator(machine, message, () => {
      this.#coordinator.onJoin(machine.info, ChunkSet.fromBytes(chunkCount, have.toBytes()));
    });
  }

  #scheduleTimer(machine: SimulatedMachine): void {
    this.clock.schedule(this.clock.now + TICK_INTERVAL, () => {
      if (!machine.alive) return;
      this.#tick(machine);
      this.#scheduleTimer(machine);
    });
  }

  #scheduleTick(machine: SimulatedMachine): void {
    if (machine.tickScheduled || !machine.alive) return;
    machine.tickScheduled = true;
    this.clock.schedule(this.clock.now + TICK_DELAY, () => this.#tick(machine));
  }

  #tick(machine: SimulatedMachine): void {
    machine.tickScheduled = false;
    if (!machine.alive) return;
    for (const command of machine.node.tick(this.clock.now)) this.#carryOut(machine, command);
  }

  #carryOut(machine: SimulatedMachine, command: DistributionCommand): void {
    const transfer = transferKeyOf(command.version);
    const { version } = command;
    const now = () => this.clock.now;
    switch (command.type) {
      case 'greet': {
        const message: Message = { type: 'greet', transfer, have: command.have };
        return this.#toMachine(machine, command.peer.id, message, (peer) => {
          peer.node.onGreeting(machine.info, version, command.have);
        });
      }
      case 'request': {
        const { chunk, have, urgent } = command;
        return this.#toMachine(
          machine,
          command.peer.id,
          { type: 'request', transfer, chunk, have, urgent },
          (peer) => {
            peer.node.onRequest(machine.info, { version, chunk, have, urgent }, now());
          },
        );
      }
      case 'cancel': {
        const { chunk } = command;
        return this.#toMachine(machine, command.peer, { type: 'cancel', transfer, chunk }, (peer) => {
          peer.node.onCancel(machine.info.id, version, chunk);
        });
      }
      case 'refuse': {
        const { chunk, reason, queueLength } = command;
        const message: Message = { type: 'refuse', transfer, chunk, reason, queueLength };
        return this.#toMachine(machine, command.peer, message, (peer) => {
          peer.node.onRefused(machine.info.id, version, chunk, reason, queueLength, now());
        });
      }
      case 'announce': {
        const { chunks, queueLength, peers } = command;
        const message: Message = { type: 'announce', transfer, chunks, queueLength };
        for (const id of peers) {
          this.#toMachine(machine, id, message, (peer) => {
            peer.node.onAnnounce(version, machine.info.id, chunks, queueLength);
          });
        }
        return;
      }
      case 'send':
        return this.#sendChunk(machine, command.peer, command.chunk, command.queueLength);
      case 'draw':
        return this.#draw(machine, command.chunk);
      case 'report': {
        const { have, starving } = command;
        return this.#toCoordinator(machine, { type: 'report', transfer, have, starving }, () => {
          this.#coordinator.onReport(machine.info.id, have, starving);
        });
      }
      case 'grantEnded': {
        const { grantId, chunk, succeeded } = command;
        return this.#toCoordinator(
          machine,
          { type: 'grantEnded', transfer, grantId, chunk, succeeded },
          () => {
            this.#coordinator.onGrantEnded(machine.info.id, grantId, chunk, succeeded);
          },
        );
      }
    }
  }

  #sendChunk(sender: SimulatedMachine, to: string, chunk: number, queueLength: number): void {
    const { chunkBytes } = this.init;
    const sentAt = sender.link.send(this.clock.now, chunkBytes);
    const corrupt = sender.corruption > 0 && this.random.fraction() < sender.corruption;
    this.audit.addChunkSent(sender.info.id);
    if (!sender.intact.has(chunk)) this.audit.unverifiedChunksPassedOn++;
    this.clock.schedule(sentAt, () => {
      if (!sender.alive) return;
      sender.node.onUploadEnded();
      this.#scheduleTick(sender);
      const receiver = this.machines.get(to);
      if (receiver === undefined || !receiver.alive) return;
      if (sender.info.region !== receiver.info.region) this.audit.crossRegionBytes += chunkBytes;
      const arrivesAt = this.clock.now + this.#delay(sender.info, receiver.info);
      this.#deliver(receiver, chunk, sender.info.id, corrupt, queueLength, arrivesAt);
    });
  }

  #draw(machine: SimulatedMachine, chunk: number): void {
    if (!this.originAnswers) return;
    const { chunkBytes } = this.init;
    const asksAt = this.clock.now + REGION_DELAY;
    this.clock.schedule(asksAt, () => {
      if (!this.originAnswers) return;
      const sentAt = this.originLink.send(this.clock.now, chunkBytes);
      this.audit.originBytes += chunkBytes;
      this.clock.schedule(sentAt, () => {
        if (machine.alive) this.#deliver(machine, chunk, undefined, false, 0, this.clock.now + REGION_DELAY);
      });
    });
  }

  #deliver(
    receiver: SimulatedMachine,
    chunk: number,
    from: string | undefined,
    corrupt: boolean,
    queueLength: number,
    arrivesAt: number,
  ): void {
    this.clock.schedule(arrivesAt, () => {
      const receivedAt = receiver.link.receive(this.clock.now, this.init.chunkBytes);
      const verifiedAt = receivedAt + this.init.chunkBytes / VERIFY_BYTES_PER_MILLISECOND;
      this.clock.schedule(verifiedAt, () => this.#receive(receiver, chunk, from, corrupt, queueLength));
    });
  }

  #receive(
    receiver: SimulatedMachine,
    chunk: number,
    from: string | undefined,
    corrupt: boolean,
    queueLength: number,
  ): void {
    if (!receiver.alive) return;
    const { now } = this.clock;
    this.#scheduleTick(receiver);
    if (corrupt) return receiver.node.onCorruptChunk(SIMULATED_VERSION, chunk, from, now);
    if (!this.allowedPlaces.has(receiver.info.place)) this.audit.placeBreaches++;
    receiver.intact.add(chunk);
    const isNew = receiver.node.onChunk(SIMULATED_VERSION, chunk, from, queueLength, now);
    if (!isNew) this.audit.duplicateChunks++;
    const complete = receiver.node.transfers.get(SIMULATED_VERSION)?.have.complete ?? false;
    if (!complete || receiver.completedAt !== undefined) return;
    receiver.completedAt = now;
    if (!receiver.intact.complete) this.audit.partialLoads++;
  }

  #toMachine(
    from: SimulatedMachine,
    to: string,
    message: Message,
    handle: (peer: SimulatedMachine) => void,
  ): void {
    const peer = this.machines.get(to);
    if (peer === undefined) return;
    const bytes = this.#sizeOf(message);
    this.audit.addControl(from.info.id, bytes);
    const delay = this.#delay(from.info, peer.info);
    this.clock.schedule(this.clock.now + delay, () => {
      if (!peer.alive) return from.node.onPeerLost(to, this.clock.now);
      this.audit.addControl(to, bytes);
      handle(peer);
      this.#scheduleTick(peer);
    });
  }

  #toCoordinator(machine: SimulatedMachine, message: Message, handle: () => void): void {
    const bytes = this.#sizeOf(message);
    this.audit.addControl(machine.info.id, bytes);
    this.clock.schedule(this.clock.now + REGION_DELAY, () => {
      if (!this.coordinatorAnswers) return;
      this.audit.coordinatorBytes += bytes;
      handle();
      this.#scheduleCoordinatorTick();
    });
  }

  #scheduleCoordinatorTimer(): void {
    this.clock.schedule(this.clock.now + TICK_INTERVAL, () => {
      this.#scheduleCoordinatorTick();
      this.#scheduleCoordinatorTimer();
    });
  }

  #scheduleCoordinatorTick(): void {
    if (this.#coordinatorTickScheduled) return;
    this.#coordinatorTickScheduled = true;
    this.clock.schedule(this.clock.now + TICK_DELAY, () => {
      this.#coordinatorTickScheduled = false;
      if (!this.coordinatorAnswers) return;
      for (const command of this.#coordinator.tick(this.clock.now)) this.#fromCoordinator(command);
    });
  }

  #fromCoordinator(command: CoordinatorCommand): void {
    const machine = this.machines.get(command.member);
    if (machine === undefined) return;
    const transfer = transferKeyOf(SIMULATED_VERSION);
    const message: Message =
      command.type === 'grant'
        ? { type: 'grant', transfer, grant: command.grant }
        : { type: 'neighbours', transfer, peers: command.peers };
    const bytes = this.#sizeOf(message);
    this.audit.coordinatorBytes += bytes;
    this.clock.schedule(this.clock.now + REGION_DELAY, () => {
      if (!machine.alive) return;
      this.audit.addControl(machine.info.id, bytes);
      if (command.type === 'grant') machine.node.onGrant(SIMULATED_VERSION, command.grant);
      else for (const peer of command.peers) machine.node.addNeighbour(SIMULATED_VERSION, peer);
      this.#scheduleTick(machine);
    });
  }

  #sizeOf(message: Message): number {
    const variable =
      message.type === 'announce' || message.type === 'report' || message.type === 'neighbours';
    if (variable) return encode(message, STAMP).byteLength + FRAME_OVERHEAD_BYTES;
    let size = this.#sizes.get(message.type);
    if (size === undefined) {
      size = encode(message, STAMP).byteLength + FRAME_OVERHEAD_BYTES;
      this.#sizes.set(message.type, size);
    }
    return size;
  }

  #delay(a: PeerInfo, b: PeerInfo): number {
    return a.region === b.region ? ZONE_DELAY : REGION_DELAY;
  }
}

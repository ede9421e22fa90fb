/** The commands that run a process of the system or an emulator. The module of a role is imported when the role starts. */
import { Command, Option } from 'clipanion';
import {
  agentSettings,
  engineEmulatorSettings,
  entrySettings,
  platformEmulatorSettings,
  serviceEmulatorSettings,
} from '../settings/schemas.js';
import { ThistlewayCommand } from './command.js';
import { limitYoungGeneration, readSettings, runUntilSignal } from './process.js';

/** `thistleway entry --config F`. */
export class EntryCommand extends ThistlewayCommand {
  static override paths = [['entry']];
  static override usage = Command.Usage({
    category: 'Processes',
    description: 'run the process of an entry machine',
    examples: [['Run an entry', 'thistleway entry --config entry.jsonc']],
  });
  config = Option.String('--config', { required: true, description: 'settings file (JSON with comments)' });

  async perform(): Promise<number> {
    const settings = readSettings(this.config, entrySettings);
    limitYoungGeneration();
    const { createEntry } = await import('../entry/entry.js');
    // Callers may cache the address of this entry for its lifetime, so the entry drains for at least that long.
    await runUntilSignal(createEntry(settings), settings.discovery.addressLifetimeSeconds * 1_000);
    return 0;
  }
}

/** `thistleway agent --config F`. */
export class AgentCommand extends ThistlewayCommand {
  static override paths = [['agent']];
  static override usage = Command.Usage({
    category: 'Processes',
    description: 'run the agent of a back-end machine',
    examples: [['Run an agent', 'thistleway agent --config agent.jsonc']],
  });
  config = Option.String('--config', { required: true, description: 'settings file (JSON with comments)' });

  async perform(): Promise<number> {
    const settings = readSettings(this.config, agentSettings);
    limitYoungGeneration();
    const { createAgent } = await import('../agent/agent.js');
    await runUntilSignal(createAgent(settings));
    return 0;
  }
}

/** `thistleway emulate platform|engine|service --config F`. */
export class EmulateCommand extends ThistlewayCommand {
  static override paths = [['emulate']];
  static override usage = Command.Usage({
    category: 'Development',
    description: 'run an emulator of an external system: platform, engine or service',
    examples: [['Run an engine', 'thistleway emulate engine --config engine.jsonc']],
  });
  kind = Option.String({ required: true });
  config = Option.String('--config', { required: true, description: 'settings file (JSON with comments)' });

  async perform(): Promise<number> {
    if (this.kind === 'platform') return this.#platform();
    if (this.kind === 'engine') return this.#engine();
    if (this.kind === 'service') return this.#service();
    this.context.stderr.write(`unknown emulator "${this.kind}"; available: platform, engine, service\n`);
    return 2;
  }

  async #platform(): Promise<number> {
    const settings = readSettings(this.config, platformEmulatorSettings);
    const { platformEmulator } = await import('../../emulator/platform/platform.js');
    await runUntilSignal(platformEmulator(settings));
    return 0;
  }

  async #engine(): Promise<number> {
    const settings = readSettings(this.config, engineEmulatorSettings);
    const { engineEmulator } = await import('../../emulator/engine/engine.js');
    await runUntilSignal(engineEmulator(settings));
    return 0;
  }

  async #service(): Promise<number> {
    const settings = readSettings(this.config, serviceEmulatorSettings);
    const { serviceEmulator } = await import('../../emulator/service/service.js');
    await runUntilSignal(serviceEmulator(settings));
    return 0;
  }
}

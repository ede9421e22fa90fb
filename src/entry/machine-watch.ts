/** Detects machines whose processes are dead, by reading the platform's machine list while machines are disconnected. */
import type { MachineList } from '../clients/machine-list.js';
import { MachineAbsences } from '../systems/machine-absences.js';
import type { AgentDirectory } from './agent-directory.js';

/** Minimum interval between reads of the list, in milliseconds. */
const READ_INTERVAL = 2_000;
const READ_TIMEOUT = 2_000;

/** One entry's view of the machine list. */
export class MachineWatch {
  readonly #list: MachineList;
  readonly #directory: Pick<AgentDirectory, 'isConnected'>;
  readonly #absences = new MachineAbsences();

  constructor(list: MachineList, directory: Pick<AgentDirectory, 'isConnected' | 'listen'>) {
    this.#list = list;
    this.#directory = directory;
    directory.listen(() => this.#endAbsences());
  }

  /** Of `addresses`, returns those whose machines are dead. A machine with a connected agent is not. */
  async findDead(addresses: readonly string[]): Promise<Set<string>> {
    if (addresses.length > 0 && performance.now() - this.#absences.readAt >= READ_INTERVAL)
      await this.#read();
    for (const address of addresses) this.#absences.noteDisconnected(address, performance.now());
    this.#endAbsences();
    return new Set(addresses.filter((address) => this.#absences.isDead(address)));
  }

  async #read(): Promise<void> {
    const read = await this.#list.machines(AbortSignal.timeout(READ_TIMEOUT));
    if (read.ok)
      this.#absences.noteRead(new Set(read.value.map(({ address }) => address)), performance.now());
  }

  #endAbsences(): void {
    this.#absences.endConnected((address) => this.#directory.isConnected(address));
  }
}

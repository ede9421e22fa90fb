/** The platform's list of machines. It lags: it may contain machines that are gone and lack new ones. */
import type { Result } from '../model/result.js';
import type { PlatformError } from './errors.js';
import { callHttp, parseJson } from './http.js';

/** A machine in the list. */
export interface ListedMachine {
  /** IP address. */
  address: string;
  state: 'live' | 'leaving';
}

/** Client interface of the machine list. */
export interface MachineList {
  machines(signal: AbortSignal): Promise<Result<ListedMachine[], PlatformError>>;
}

const SERVICE = 'machineList';

/** Creates a client of the machine list at `url`. */
export function httpMachineList(url: string): MachineList {
  return {
    async machines(signal) {
      const answer = await callHttp({ service: SERVICE, method: 'GET', url, signal });
      return answer.ok ? parseJson<ListedMachine[]>(SERVICE, answer.value) : answer;
    },
  };
}

/** The platform's list of machines. It lags: a machine in it may be gone, and a new one may be missing. */
import type { Result } from '../model/result.js';
import type { PlatformError } from './errors.js';
import { callHttp, parseJson } from './http.js';

/** A machine as the platform sees it. */
export interface ListedMachine {
  /** IP number. */
  address: string;
  state: 'live' | 'leaving';
}

/** The list of machines. */
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

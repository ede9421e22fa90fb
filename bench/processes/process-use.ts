/** What the operating system says of a process: processor time and memory. */
import { readFileSync } from 'node:fs';

/** Kernel clock ticks a second, as Linux reports processor time. */
const TICKS_PER_SECOND = 100;

/** Use of one process so far. */
export interface ProcessUse {
  /** Processor time, user and system, in seconds. */
  cpuSeconds: number;
  /** Resident size, in megabytes (10^6 bytes). */
  residentMegabytes: number;
}

/** Reads the use of the process `pid`. */
export function processUse(pid: number): ProcessUse {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kibibytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  return {
    cpuSeconds: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND,
    residentMegabytes: Math.round((kibibytes * 1_024) / 100_000) / 10,
  };
}

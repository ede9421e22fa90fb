/** What truly happened in a simulated burst, kept apart from the systems under test. */

/** Counts judged by the bench. */
export class BurstAudit {
  originBytes = 0;
  crossRegionBytes = 0;
  placeBreaches = 0;
  unverifiedChunksPassedOn = 0;
  partialLoads = 0;
  mixedVersionAnswers = 0;
  /** Control bytes sent and received, by machine. */
  readonly controlBytes = new Map<string, number>();
  /** Control bytes sent and received by the coordinator. */
  coordinatorBytes = 0;
  /** Chunks sent by each machine. */
  readonly chunksSent = new Map<string, number>();
  duplicateChunks = 0;

  addControl(machine: string, bytes: number): void {
    this.controlBytes.set(machine, (this.controlBytes.get(machine) ?? 0) + bytes);
  }

  addChunkSent(machine: string): void {
    this.chunksSent.set(machine, (this.chunksSent.get(machine) ?? 0) + 1);
  }
}

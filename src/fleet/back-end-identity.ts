import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';

/** A set of back ends. It holds one start of each id: another start of the same id is not a member. */
export class BackEndSet {
  readonly #starts = new Map<string, number | undefined>();

  /** Adds a back end and replaces an earlier start of the same id. */
  add({ id, start }: BackEndIdentity): void {
    this.#starts.delete(id);
    this.#starts.set(id, start);
  }

  has({ id, start }: BackEndIdentity): boolean {
    return this.#starts.has(id) && isSameStart(this.#starts.get(id), start);
  }

  /** Evicts the back ends that were added first, until at most `count` remain. */
  keepLatest(count: number): void {
    for (const id of this.#starts.keys()) {
      if (this.#starts.size <= count) return;
      this.#starts.delete(id);
    }
  }

  delete(identity: BackEndIdentity): void {
    if (this.has(identity)) this.#starts.delete(identity.id);
  }
}

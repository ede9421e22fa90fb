import { type BackEndIdentity, isSameStart } from '../model/back-end-identity.js';

/** A set of back ends: another start of one that is in it is not. */
export class BackEndSet {
  readonly #starts = new Map<string, number | undefined>();

  /** Adds a back end, in place of a former start of it. */
  add({ id, start }: BackEndIdentity): void {
    this.#starts.delete(id);
    this.#starts.set(id, start);
  }

  has({ id, start }: BackEndIdentity): boolean {
    return this.#starts.has(id) && isSameStart(this.#starts.get(id), start);
  }

  /** Forgets those that were added first, beyond `count`. */
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

import type { PartGroup, PartUse, PromptPart } from '../systems/part-groups.js';
import type { Fingerprint } from '../systems/poison-requests.js';

/**
 * Updates that entries exchange about request contents that crash back ends. They carry ages, as clocks differ. `fingerprint` is that
 * of a content, or a prompt part.
 */
export type PoisonUpdate =
  /** A back end crashed `age` milliseconds ago while requests with these contents were in progress. */
  | {
      type: 'crashed';
      backEnd: string;
      start?: number | undefined;
      age: number;
      suspects: Fingerprint[];
      /** Prompt parts of these requests, one entry for each; earlier versions of the system do not send them. */
      parts?: PartUse[];
      /** Groups of these parts that the sender has quarantined. */
      quarantinedParts?: PartGroup[];
    }
  /** One request with this content is admitted as a trial. */
  | { type: 'trial'; fingerprint: Fingerprint | PromptPart }
  /** The trial request did not reach a back end. */
  | { type: 'notTried'; fingerprint: Fingerprint | PromptPart }
  /** A request with this content was answered without a crash. */
  | { type: 'served'; fingerprint: Fingerprint | PromptPart };

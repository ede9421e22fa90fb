import type { Fingerprint } from '../systems/poison-requests.js';

/** What entries tell one another of contents that crash back ends. Messages carry ages, as their clocks differ. */
export type PoisonUpdate =
  /** A back end crashed `age` milliseconds ago with these contents in progress. */
  | { type: 'crashed'; backEnd: string; start?: number | undefined; age: number; suspects: Fingerprint[] }
  /** One request with this content is let through. */
  | { type: 'trial'; fingerprint: Fingerprint }
  /** That request reached no back end. */
  | { type: 'notTried'; fingerprint: Fingerprint }
  /** A request with this content was served. */
  | { type: 'served'; fingerprint: Fingerprint };

import type { Fingerprint } from '../systems/poison-requests.js';

/** Updates that entries exchange about request contents that crash back ends. They carry ages, as clocks differ. */
export type PoisonUpdate =
  /** A back end crashed `age` milliseconds ago while requests with these contents were in progress. */
  | { type: 'crashed'; backEnd: string; start?: number | undefined; age: number; suspects: Fingerprint[] }
  /** One request with this content is admitted as a trial. */
  | { type: 'trial'; fingerprint: Fingerprint }
  /** The trial request did not reach a back end. */
  | { type: 'notTried'; fingerprint: Fingerprint }
  /** A request with this content was answered without a crash. */
  | { type: 'served'; fingerprint: Fingerprint };

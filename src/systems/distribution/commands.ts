/** What the distribution systems decide in a tick; the role around them carries it out. */
import type { Digest } from '../../model/manifest.js';
import type { PeerId, PeerInfo } from './transfer.js';

/** Why a machine does not send a chunk. */
export type RefusalReason = 'busy' | 'absent' | 'place';

/** One decision of a tick. */
export type DistributionCommand =
  | {
      type: 'request';
      version: Digest;
      chunk: number;
      peer: PeerInfo;
      /** Chunks that this machine has, so that the sender can serve whoever has least. */
      have: number;
      /** The only way into this region for the chunk: to be served first. */
      urgent: boolean;
    }
  | { type: 'greet'; version: Digest; peer: PeerInfo; have: Uint8Array }
  | { type: 'cancel'; version: Digest; chunk: number; peer: PeerId }
  | { type: 'draw'; version: Digest; chunk: number; grantId: number | undefined }
  | { type: 'send'; version: Digest; chunk: number; peer: PeerId; queueLength: number }
  | {
      type: 'refuse';
      version: Digest;
      chunk: number;
      peer: PeerId;
      reason: RefusalReason;
      queueLength: number;
    }
  | { type: 'announce'; version: Digest; chunks: number[]; peers: PeerId[]; queueLength: number }
  | { type: 'report'; version: Digest; have: number; starving: number[] }
  | { type: 'grantEnded'; version: Digest; grantId: number; chunk: number | undefined; succeeded: boolean };

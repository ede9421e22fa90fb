/** Commands issued by a tick of the chunk exchange; the caller executes them. */
import type { Digest } from '../../model/manifest.js';
import type { PeerId, PeerInfo } from './transfer.js';

/** Why a machine refuses to send a chunk. */
export type RefusalReason = 'busy' | 'absent' | 'place';

/** A command issued by a tick. */
export type DistributionCommand =
  | {
      type: 'request';
      version: Digest;
      chunk: number;
      peer: PeerInfo;
      /** Number of chunks this machine has, so that the sender can serve the peer with the fewest first. */
      have: number;
      /** True for a request under a grant: the region may have no other source for the chunk, so it is served first. */
      urgent: boolean;
    }
  | { type: 'greet'; version: Digest; peer: PeerInfo; have: Uint8Array }
  | { type: 'cancel'; version: Digest; chunk: number; peer: PeerId }
  /** Fetch a chunk from the origin. */
  | { type: 'draw'; version: Digest; chunk: number; grantId: number | undefined }
  /** Send a chunk; `place` is that of the peer, which {@link DistributionNode.confirmUpload} checks after a wait. */
  | { type: 'send'; version: Digest; chunk: number; peer: PeerId; place: string; queueLength: number }
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

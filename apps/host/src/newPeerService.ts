import type { PeerService } from '@cyclamengate/batches/peerRouter';
import type Clock from '@cyclamengate/common/Clock';
import type { BatchStore } from './newBatchStore.js';
import type { Coordination } from './newCoordination.js';

/** A peer's heartbeat is written within some milliseconds by a host that reaches the store. */
const ANNOUNCE_MS = 500;

export interface PeerServiceOptions {
  clock: Clock;
  batchStore: BatchStore;
  coordination: Coordination;
  isLeaving: () => boolean;
}

/** What this host does for other hosts. */
const newPeerService = (options: PeerServiceOptions): PeerService => {
  const { clock, batchStore, coordination, isLeaving } = options;

  return {
    keep: (record, withinMs) => batchStore.write(record, clock.now() + withinMs),
    begin: (batch) => {
      if (isLeaving()) return 'leaving';
      batchStore.begin(batch);
      return batchStore.batches.hasBegun(batch.id) ? 'begun' : 'kept';
    },
    hasBegun: batchStore.batches.hasBegun,
    noteBegun: batchStore.batches.noteBeginner,
    takeOver: async (handover) => {
      const isBetter = !handover.isSenderCut || (await batchStore.touch()) === 'steady';
      const isTaken = isBetter && !isLeaving();
      if (isTaken) batchStore.takeOver(handover);
      return isTaken;
    },
    announce: async (heartbeat) =>
      (await coordination.write(heartbeat, clock.now() + ANNOUNCE_MS)) === 'written',
    touch: batchStore.touch,
  };
};

export default newPeerService;

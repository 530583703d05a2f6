import { MAX_EXCHANGED_CRASHES } from '@cyclamengate/batches/peerRouter';
import type { PeerService } from '@cyclamengate/batches/peerRouter';
import type Clock from '@cyclamengate/common/Clock';
import type { CrashHistory } from '@cyclamengate/engines/newCrashHistory';
import type { BatchStore } from './newBatchStore.js';
import type { Coordination } from './newCoordination.js';
import type { Departure } from './newDeparture.js';

/** A host that reaches the store writes a peer's heartbeat within a few milliseconds. */
const ANNOUNCE_TIMEOUT_MS = 500;

export interface PeerServiceOptions {
  clock: Clock;
  batchStore: BatchStore;
  coordination: Coordination;
  departure: Pick<Departure, 'isLeaving' | 'canFinish'>;
  crashHistory: CrashHistory;
  findNewerSettings: PeerService['findNewerSettings'];
  listEvacuations: PeerService['listEvacuations'];
}

/** The procedures that this host provides to its peers. */
const newPeerService = (options: PeerServiceOptions): PeerService => {
  const { clock, batchStore, coordination, departure, crashHistory } = options;
  const { isLeaving, canFinish } = departure;

  return {
    keep: async (record, withinMs) => {
      const deadline = clock.now() + withinMs;
      return canFinish(deadline) ? batchStore.write(record, deadline) : 'not-written';
    },
    begin: (batch) => {
      // A host without room for a batch takes it as little as one that leaves.
      if (isLeaving() || !batchStore.hold(batch)) return 'leaving';
      batchStore.begin(batch);
      return batchStore.batches.hasBegun(batch.id) ? 'begun' : 'kept';
    },
    hasBegun: batchStore.batches.hasBegun,
    noteBegun: batchStore.batches.recordExecutor,
    takeOver: async (handover) => {
      const isSuitable =
        !handover.isSenderCut || (await batchStore.checkStoreAccess()) === 'steady';
      const isAccepted = isSuitable && !isLeaving() && batchStore.hold(handover.batch);
      if (isAccepted) batchStore.takeOver(handover);
      return isAccepted;
    },
    announce: async (heartbeat) =>
      (await coordination.write(heartbeat, clock.now() + ANNOUNCE_TIMEOUT_MS)) === 'written',
    exchangeCrashes: (crashes) => {
      crashes.forEach(crashHistory.merge);
      return crashHistory.newest(MAX_EXCHANGED_CRASHES);
    },
    claimTrial: (digest, crashes) => {
      crashes.forEach(crashHistory.merge);
      const retryAt = crashHistory.start(digest);
      return retryAt === null ? 0 : Math.max(1, Math.round(retryAt - clock.now()));
    },
    cancelTrial: crashHistory.cancelStart,
    findNewerSettings: options.findNewerSettings,
    listEvacuations: options.listEvacuations,
    touch: batchStore.checkStoreAccess,
  };
};

export default newPeerService;

import type Clock from '@cyclamengate/common/Clock';
import sleepUntilCaughtUp from '@cyclamengate/common/sleepUntilCaughtUp';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { Batches } from './newBatches.js';

export interface StoreBatchOptions<StoredBatch> {
  clock: Clock;
  batches: Pick<Batches, 'get' | 'onChange'>;
  write: (batch: StoredBatch, deadline: number) => Promise<WriteOutcome>;
}

/**
 * Writes a batch to the store, or returns as soon as the log shows that the store has it.
 *
 * A batch that is sent again during an outage was begun by another host, which writes it once the
 * store is available. This host's own write may then still wait for a response that was lost in the
 * outage, and the caller would get an unknown outcome for a batch that every host can read.
 */
const storeBatch = async <StoredBatch extends { id: string }>(
  { clock, batches, write }: StoreBatchOptions<StoredBatch>,
  batch: StoredBatch,
  deadline: number,
): Promise<WriteOutcome> => {
  const observed = new AbortController();
  const stop = batches.onChange((changed) => {
    if (changed.isLogged && changed.batch.id === batch.id) observed.abort('seen');
  });
  // An append that is sent during an outage can remain unanswered past its writer's deadline.
  const timeout = sleepUntilCaughtUp(clock, deadline, observed.signal).then(
    (): WriteOutcome => 'unknown',
  );
  const outcome = await Promise.race([write(batch, deadline), timeout]);
  stop();
  observed.abort('over');
  return batches.get(batch.id) ? 'written' : outcome;
};

export default storeBatch;

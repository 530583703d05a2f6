import type { IncomingMessage } from 'node:http';
import newBatchParser from '@cyclamengate/adapter/newBatchParser';
import type { SubmittedBatch } from '@cyclamengate/adapter/newBatchParser';
import { MAX_ITEMS } from '@cyclamengate/batches/batchRecord';
import { itemBytes } from '@cyclamengate/batches/metadataBytes';
import newBatchIntake from '@cyclamengate/batches/newBatchIntake';
import type { BatchRequests, BatchIntakeOptions } from '@cyclamengate/batches/newBatchIntake';
import type { MemoryBudget, MemoryLease } from '@cyclamengate/common/newMemoryBudget';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';

/** Each byte that arrives is in turn part of a chunk, of a decoded part and of an append. */
const BUFFERS_OF_CHUNK = 3;
/** Metadata of the items of one batch. */
const MAX_METADATA_CHARACTERS = 4_000_000;

/** A batch that has arrived as a whole. */
export interface ReceivedBatch {
  submitted: SubmittedBatch;
  requests: Exclude<BatchRequests, { type: 'not-stored' }>;
}

/** Why a batch is not accepted; nobody will ever run it. */
export interface ReceiveFault {
  type:
    | 'malformed-batch'
    | 'item-too-large'
    | 'too-many-items'
    | 'too-large'
    | 'too-slow'
    | 'aborted'
    | 'store-away'
    /** Every host would have to hold more of all batches than it may. */
    | 'no-memory';
  message: string;
}

export interface ReceiveOptions extends BatchIntakeOptions {
  memory: Pick<MemoryBudget, 'noteFreed'>;
  /** Grows by what every host will hold of the batch. */
  metadata: Pick<MemoryLease, 'grow'>;
  incoming: IncomingMessage;
  limitBytes: number;
  timeoutMs: number;
}

const newFault = (type: ReceiveFault['type'], message = ''): Result<never, ReceiveFault> =>
  Err({ type, message });

/** Receives the body of a batch, and stops at the first reason not to accept it. */
const receive = async (
  { memory, metadata, incoming, limitBytes, writePart }: ReceiveOptions,
  signal: AbortSignal,
): Promise<Result<ReceivedBatch, ReceiveFault>> => {
  const intake = newBatchIntake({ writePart });
  let bytes = 0;
  let metadataCharacters = 0;
  let hasMetadataRoom = true;
  const parser = newBatchParser({
    onBody: intake.addBody,
    onItem: (item) => {
      metadataCharacters += item.id.length + item.group.length;
      hasMetadataRoom = hasMetadataRoom && metadata.grow(itemBytes(item));
      intake.addItem(item);
    },
  });

  const findFault = (): Result<never, ReceiveFault> | null => {
    const problem = parser.problem();
    if (bytes > limitBytes) return newFault('too-large');
    if (problem?.type === 'malformed') return newFault('malformed-batch', problem.message);
    if (problem) return newFault('item-too-large', problem.message);
    const isTooMany =
      parser.itemCount() > MAX_ITEMS || metadataCharacters > MAX_METADATA_CHARACTERS;
    if (isTooMany) return newFault('too-many-items', `more than ${MAX_ITEMS}, or too long ids`);
    if (!hasMetadataRoom) return newFault('no-memory', 'too much is known of other batches');
    return intake.hasFailed() ? newFault('store-away') : null;
  };

  // Left without being destroyed: what follows a refusal is read and discarded.
  for await (const chunk of incoming.iterator({ destroyOnReturn: false })) {
    bytes += (chunk as Buffer).length;
    parser.push(chunk as Buffer);
    await intake.ready();
    memory.noteFreed(BUFFERS_OF_CHUNK * (chunk as Buffer).length);
    const fault = signal.aborted ? newFault('too-slow') : findFault();
    if (fault) return fault;
  }
  if (!incoming.complete) return newFault('aborted');
  const submitted = parser.end();
  if (!submitted.ok) return newFault('malformed-batch', submitted.val.message);
  const requests = await intake.end();
  if (requests.type === 'not-stored') return newFault('store-away');
  return Ok({ submitted: submitted.val, requests });
};

/**
 * Receives the body of a batch: holds a small one, and stores the requests of a large one as they
 * arrive, so that it is never held as a whole.
 */
const receiveBatch = async (
  options: ReceiveOptions,
): Promise<Result<ReceivedBatch, ReceiveFault>> => {
  const { incoming, timeoutMs } = options;
  const over = new AbortController();
  const timer = setTimeout(() => over.abort('too slow'), timeoutMs);
  const timedOut = new Promise<Result<never, ReceiveFault>>((resolve) => {
    over.signal.addEventListener('abort', () => resolve(newFault('too-slow')));
  });
  const received = receive(options, over.signal).catch((error: unknown) => {
    if (incoming.complete || !incoming.destroyed) throw error;
    return newFault('aborted');
  });
  const outcome = await Promise.race([received, timedOut]);
  clearTimeout(timer);
  // What follows a refusal is read and discarded, so that the refusal reaches the sender.
  incoming.resume();
  return outcome;
};

export default receiveBatch;

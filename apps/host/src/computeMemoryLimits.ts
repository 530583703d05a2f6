import { totalmem } from 'node:os';
import type { MemoryLimits } from '@cyclamengate/common/newMemoryBudget';

const BYTES_PER_MB = 1_048_576;
/**
 * What a host under load takes beside bodies: its program, its view of the log and of the upstreams,
 * and what the runtime has yet to collect.
 */
const OTHER_MB = 240;
/** The largest body has to fit as well into a small machine, with some room beside it. */
const MIN_BODIES_MB = 36;
/** The program alone, with what the runtime has yet to collect of the least bodies. */
const PROGRAM_MB = 166;
/** The metadata of a batch with as many items as one may have. */
const MIN_VALUES_MB = 12;
/** Metadata and texts lie in the runtime's heap, which the deploy file bounds. */
const MAX_VALUES_MB = 64;

/**
 * How many bytes a host may hold for bodies, metadata and texts.
 * @param limitMb memory beyond which the process is ended; less on a smaller machine
 */
const computeMemoryLimits = (limitMb: number, machineBytes: number = totalmem()): MemoryLimits => {
  const memoryMb = Math.min(limitMb, machineBytes / BYTES_PER_MB);
  const bodiesMb = Math.max(MIN_BODIES_MB, memoryMb - OTHER_MB);
  const valuesMb = Math.min(MAX_VALUES_MB, Math.max(MIN_VALUES_MB, (memoryMb - PROGRAM_MB) / 2));
  return {
    bodies: Math.round(bodiesMb * BYTES_PER_MB),
    metadata: Math.round(valuesMb * BYTES_PER_MB),
    texts: Math.round(valuesMb * BYTES_PER_MB),
  };
};

export default computeMemoryLimits;

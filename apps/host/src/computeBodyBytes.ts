import { totalmem } from 'node:os';

const BYTES_PER_MB = 1_048_576;
/**
 * What a host under load takes beside bodies: its program, its view of the log and of the upstreams,
 * and what the runtime has yet to collect.
 */
const OTHER_MB = 240;
/** The largest body has to fit as well into a small machine, with some room beside it. */
const MIN_BODIES_MB = 36;

/**
 * How many bytes of bodies a host may hold.
 * @param limitMb memory beyond which the process is ended; less on a smaller machine
 */
const computeBodyBytes = (limitMb: number, machineBytes: number = totalmem()): number => {
  const memoryMb = Math.min(limitMb, machineBytes / BYTES_PER_MB);
  return Math.round(Math.max(MIN_BODIES_MB, memoryMb - OTHER_MB) * BYTES_PER_MB);
};

export default computeBodyBytes;

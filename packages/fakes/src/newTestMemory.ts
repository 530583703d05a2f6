import newMemoryBudget from '@cyclamengate/common/newMemoryBudget';
import type { MemoryBudget } from '@cyclamengate/common/newMemoryBudget';
import newMetrics from '@cyclamengate/common/newMetrics';
import newSystemClock from '@cyclamengate/common/newSystemClock';

const DEFAULT_LIMIT_BYTES = 64_000_000;

/** A memory budget that logs nothing; all its pools have the same limit. */
const newTestMemory = (limitBytes = DEFAULT_LIMIT_BYTES): MemoryBudget =>
  newMemoryBudget({
    clock: newSystemClock(),
    log: { info: () => {}, warn: () => {}, error: () => {} },
    metrics: newMetrics(),
    limits: { bodies: limitBytes, metadata: limitBytes, texts: limitBytes },
    collect: () => {},
  });

export default newTestMemory;

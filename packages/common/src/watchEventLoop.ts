import type Clock from './Clock.js';
import type { EventLog } from './newEventLog.js';
import type { Metrics } from './newMetrics.js';

const CHECK_INTERVAL_MS = 250;
/** Callers notice a process that stands still for this long. */
const STALL_MS = 500;

export interface EventLoopWatch {
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
}

/**
 * Measures for how long the event loop of this process is held: by long work of its own, or since its
 * machine gives it no processor time. Everything that the process does is late by as much.
 */
const watchEventLoop = async (
  { clock, log, metrics }: EventLoopWatch,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    const dueAt = clock.now() + CHECK_INTERVAL_MS;
    await clock.sleepUntil(dueAt, signal);
    const heldMs = Math.max(0, clock.now() - dueAt);
    metrics.observe('event_loop_held', heldMs);
    if (heldMs >= STALL_MS) log.warn('process.stalled', { heldMs: Math.round(heldMs) });
  }
};

export default watchEventLoop;

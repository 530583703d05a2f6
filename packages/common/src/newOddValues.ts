import type Clock from './Clock.js';
import type { EventFields, EventLog } from './newEventLog.js';
import type { Metrics } from './newMetrics.js';

/** Another program may write the same odd value every second; the counters have them all. */
const MAX_LINES = 10;
const LINES_INTERVAL_MS = 10_000;

/** Where values of other programs come from; each has its own counters. */
export type ValueSource =
  | 'settings'
  | 'versions'
  | 'evacuations'
  | 'upstreams'
  | 'answers'
  | 'crashes'
  | 'coordination'
  | 'batches'
  | 'parts'
  | 'peers'
  | 'reports';

interface Lines {
  written: number;
  leftOut: number;
  /** On the monotonic clock. */
  intervalEndsAt: number;
}

/**
 * Reports values of other programs that can't be used. Such a value costs itself alone: the ones before
 * and after it are read as if it were not there.
 */
const newOddValues = (clock: Clock, log: EventLog, metrics: Metrics) => {
  const linesBySource = new Map<ValueSource, Lines>();

  const currentLines = (source: ValueSource): Lines => {
    const known = linesBySource.get(source);
    if (known && clock.now() < known.intervalEndsAt) return known;
    const leftOut = known?.leftOut ?? 0;
    const lines = { written: 0, leftOut, intervalEndsAt: clock.now() + LINES_INTERVAL_MS };
    linesBySource.set(source, lines);
    return lines;
  };

  const writeLine = (source: ValueSource, write: (leftOut: EventFields) => void): void => {
    const lines = currentLines(source);
    if (lines.written >= MAX_LINES) {
      lines.leftOut += 1;
      return;
    }
    write(lines.leftOut > 0 ? { leftOut: lines.leftOut } : {});
    lines.written += 1;
    lines.leftOut = 0;
  };

  return {
    /** Reports a value that its schema rejects. */
    reject: (source: ValueSource, event: string, fields: EventFields): void => {
      metrics.count(`values_unreadable_of_${source}`);
      writeLine(source, (leftOut) => log.warn(event, { ...fields, ...leftOut }));
    },
    /** Applies a value; an error that the code for it throws is reported, and costs this value alone. */
    apply: (source: ValueSource, fields: EventFields, run: () => void): void => {
      try {
        run();
      } catch (error) {
        metrics.count(`values_broken_of_${source}`);
        const { stack } = error as Error;
        writeLine(source, (leftOut) =>
          log.error('value.broken', { source, ...fields, error: stack, ...leftOut }),
        );
      }
    },
  };
};

export type OddValues = ReturnType<typeof newOddValues>;

export default newOddValues;

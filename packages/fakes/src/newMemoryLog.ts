import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { LogPage, LogRecord } from '@cyclamengate/platform/logRecord';
import type { PlatformFault } from '@cyclamengate/platform/platformFault';
import PlatformLog from '@cyclamengate/platform/PlatformLog';

/**
 * The simulated outcome of an append.
 * - `lands`: the records are written and the append succeeds
 * - `answer-lost`: the records are written, but the caller gets `unknown`
 * - `lands-late`: the records are written by `writeDelayed`; the caller gets `unknown`
 * - `refused`: the records are not written and the caller gets `refused`
 */
export type AppendOutcome = 'lands' | 'answer-lost' | 'lands-late' | 'refused';

export interface MemoryLog extends PlatformLog {
  records: LogRecord[];
  isDown: boolean;
  /** Chooses the outcome of each append; `lands` by default. */
  chooseOutcome: (bodies: string[]) => AppendOutcome;
  /** Writes the appends that `lands-late` delayed, in the order in which they were made. */
  writeDelayed: () => void;
  /** Removes all records before an offset, as the log's retention does. */
  trimBefore: (offset: number) => void;
  /** Appends a record as another process would, unaffected by the simulated faults. */
  put: (body: string) => number;
}

const PAGE_RECORDS = 512;

/** An in-memory platform log whose faults a test controls. */
export const newMemoryLog = (wallTime: () => number = () => 0): MemoryLog => {
  let end = 0;
  let delayed: string[][] = [];

  const put = (log: MemoryLog, body: string): number => {
    log.records.push({ offset: end, at: wallTime(), body });
    end += 1;
    return end - 1;
  };

  class FakeLog extends PlatformLog implements MemoryLog {
    records: LogRecord[] = [];

    isDown = false;

    chooseOutcome: (bodies: string[]) => AppendOutcome = () => 'lands';

    async append(bodies: string[]): Promise<Result<number, PlatformFault>> {
      if (this.isDown) return Err('not-sent');
      switch (this.chooseOutcome(bodies)) {
        case 'refused':
          return Err('refused');
        case 'lands-late':
          delayed.push(bodies);
          return Err('unknown');
        case 'answer-lost':
          bodies.forEach((body) => put(this, body));
          return Err('unknown');
        default: {
          const offset = end;
          bodies.forEach((body) => put(this, body));
          return Ok(offset);
        }
      }
    }

    async read(from: number): Promise<Result<LogPage, PlatformFault>> {
      if (this.isDown) return Err('unknown');
      const records = this.records.filter(({ offset }) => offset >= from).slice(0, PAGE_RECORDS);
      return Ok({ records, end, first: this.records[0]?.offset ?? end });
    }

    writeDelayed(): void {
      const due = delayed;
      delayed = [];
      due.flat().forEach((body) => put(this, body));
    }

    trimBefore(offset: number): void {
      this.records = this.records.filter((record) => record.offset >= offset);
    }

    put(body: string): number {
      return put(this, body);
    }
  }
  return new FakeLog();
};

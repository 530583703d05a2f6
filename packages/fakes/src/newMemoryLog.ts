import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { LogPage, LogRecord } from '@cyclamengate/platform/logRecord';
import type { PlatformFault } from '@cyclamengate/platform/platformFault';
import PlatformLog from '@cyclamengate/platform/PlatformLog';

/** What happens to one append. */
export type AppendFate = 'lands' | 'answer-lost' | 'lands-late' | 'refused';

export interface MemoryLog extends PlatformLog {
  records: LogRecord[];
  isDown: boolean;
  /** Decides each append's fate; by default it lands. */
  fate: (bodies: string[]) => AppendFate;
  /** Lets the appends that were held back land now, in the order given. */
  landLate: () => void;
  /** Forgets all records before an offset, as retention does. */
  forgetBefore: (offset: number) => void;
  /** Appends as another process would, past every fault. */
  put: (body: string) => number;
}

const PAGE_RECORDS = 512;

/** The platform's log in memory, with its faults under the test's control. */
export const newMemoryLog = (wallTime: () => number = () => 0): MemoryLog => {
  let end = 0;
  let held: string[][] = [];

  const put = (log: MemoryLog, body: string): number => {
    log.records.push({ offset: end, at: wallTime(), body });
    end += 1;
    return end - 1;
  };

  class FakeLog extends PlatformLog implements MemoryLog {
    records: LogRecord[] = [];

    isDown = false;

    fate: (bodies: string[]) => AppendFate = () => 'lands';

    async append(bodies: string[]): Promise<Result<number, PlatformFault>> {
      if (this.isDown) return Err('not-sent');
      switch (this.fate(bodies)) {
        case 'refused':
          return Err('refused');
        case 'lands-late':
          held.push(bodies);
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

    landLate(): void {
      const landing = held;
      held = [];
      landing.flat().forEach((body) => put(this, body));
    }

    forgetBefore(offset: number): void {
      this.records = this.records.filter((record) => record.offset >= offset);
    }

    put(body: string): number {
      return put(this, body);
    }
  }
  return new FakeLog();
};

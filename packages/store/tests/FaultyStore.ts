import type Clock from '@cyclamengate/common/Clock';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import Store from '../src/Store.js';
import type { Appended, Producer } from '../src/Store.js';
import type { StoreFault } from '../src/storeFault.js';

type Answer = Result<Appended, StoreFault>;

/**
 * `lost` executes the append and loses the answer; `late` executes it after the call timed out;
 * `seq` and `fenced` reject it; `evicted` executes it after the producer's retained answers were
 * deleted, but not its last sequence number.
 */
export type FaultKind =
  | 'none'
  | 'slow'
  | 'refused'
  | 'unconnected'
  | 'lost'
  | 'silent'
  | 'late'
  | 'seq'
  | 'fenced'
  | 'evicted';

export interface Fault {
  kind: FaultKind;
  /** Between 0 and 1, of the maximum duration of a call of this kind. */
  delayFraction: number;
  /** Delay from the call until a late append is executed. */
  lateMs: number;
}

const RETAINED_ANSWERS = 5;
const CALL_TIMEOUT_MS = 1_200;
const CONNECT_TIMEOUT_MS = 800;
const MAX_SERVICE_MS = 40;
/** Minimum and maximum delay from the call until a late append is executed. */
export const LATE_DELAY_RANGE_MS = [1_000, 6_000] as const;

export const newFault = (kind: FaultKind, delayFraction = 0): Fault => ({
  kind,
  delayFraction,
  lateMs: LATE_DELAY_RANGE_MS[0],
});

/** One partition of the platform's store, with the sequence numbers of its producers. */
export const newPartition = () => {
  const log: string[] = [];
  const producers = new Map<string, { epoch: number; last: number; answers: number[] }>();

  const appendAs = ({ name, epoch, sequence }: Producer, bodies: string[]): Answer => {
    const known = producers.get(name);
    if (known && epoch < known.epoch) return Err({ type: 'fenced' });
    const series = known?.epoch === epoch ? known : { epoch, last: sequence - 1, answers: [] };
    const repeated = series.answers[sequence - (series.last - series.answers.length + 1)];
    if (repeated !== undefined) return Ok({ offset: repeated });
    if (sequence !== series.last + 1) return Err({ type: 'sequence', expected: series.last + 1 });
    const offset = log.length;
    log.push(...bodies);
    const answers = [...series.answers, offset].slice(-RETAINED_ANSWERS);
    producers.set(name, { epoch, last: sequence, answers });
    return Ok({ offset });
  };

  const evictAnswers = (name: string): void => {
    producers.get(name)?.answers.splice(0);
  };

  return { log, appendAs, evictAnswers };
};

export type Partition = ReturnType<typeof newPartition>;

const format = (answer: Answer): string => JSON.stringify(answer.val);

/** One host's access to the partition; each append uses the next of the host's faults. */
export class FaultyStore extends Store {
  constructor(
    private readonly clock: Clock,
    private readonly partition: Partition,
    private readonly faults: Fault[],
    private readonly trace: string[],
  ) {
    super();
  }

  async append(_topic: string, records: Buffer[], producer: Producer): Promise<Answer> {
    const fault = this.faults.shift() ?? newFault('none');
    const bodies = records.map(String);
    const label = `${producer.name} epoch ${producer.epoch} seq ${producer.sequence}`;
    this.addTrace(`${label} sends [${bodies.join(' ')}] (${fault.kind})`);
    if (fault.kind === 'evicted') this.partition.evictAnswers(producer.name);
    const answer = await this.executeWithFault(fault, () => {
      const executed = this.partition.appendAs(producer, bodies);
      this.addTrace(`${label} [${bodies.join(' ')}] executed: ${format(executed)}`);
      return executed;
    });
    this.addTrace(`${label} is answered ${format(answer)}`);
    return answer;
  }

  private addTrace(line: string): void {
    this.trace.push(`${this.clock.now()} ${line}`);
  }

  private async delay(ms: number): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + Math.round(ms));
  }

  private async executeWithFault(
    { kind, delayFraction, lateMs }: Fault,
    execute: () => Answer,
  ): Promise<Answer> {
    const unanswered = Err<StoreFault>({ type: 'unknown', reason: kind });
    switch (kind) {
      case 'refused':
        await this.delay(delayFraction * MAX_SERVICE_MS);
        return Err({ type: 'not-done', reason: 'status 503' });
      case 'unconnected':
        await this.delay(delayFraction * CONNECT_TIMEOUT_MS);
        return Err({ type: 'not-done', reason: 'ECONNREFUSED' });
      case 'lost':
        await this.delay(delayFraction * CALL_TIMEOUT_MS);
        execute();
        await this.delay((1 - delayFraction) * CALL_TIMEOUT_MS);
        return unanswered;
      case 'silent':
        await this.delay(CALL_TIMEOUT_MS);
        return unanswered;
      case 'late':
        this.delay(lateMs).then(execute);
        await this.delay(delayFraction * CALL_TIMEOUT_MS);
        return unanswered;
      case 'seq':
        await this.delay(delayFraction * MAX_SERVICE_MS);
        return Err({ type: 'sequence', expected: 0 });
      case 'fenced':
        await this.delay(delayFraction * MAX_SERVICE_MS);
        return Err({ type: 'fenced' });
      default: {
        const callMs = kind === 'slow' ? CALL_TIMEOUT_MS - 1 : MAX_SERVICE_MS;
        await this.delay((delayFraction * callMs) / 2);
        const answer = execute();
        await this.delay((delayFraction * callMs) / 2);
        return answer;
      }
    }
  }

  async read(): Promise<never> {
    throw new Error('unused');
  }

  async trim(): Promise<never> {
    throw new Error('unused');
  }

  async newest(): Promise<never> {
    throw new Error('unused');
  }

  encodeKeyed(): Buffer {
    throw new Error('not used');
  }

  parseKeyed(): never {
    throw new Error('unused');
  }
}

import type Clock from '@cyclamengate/common/Clock';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import Store from '../src/Store.js';
import type { Appended, Producer } from '../src/Store.js';
import type { StoreFault } from '../src/storeFault.js';

type Answer = Result<Appended, StoreFault>;

/**
 * `lost` is done without an answer, `late` without one and after the caller has given up; `seq` and
 * `fenced` do nothing; `forgot` serves a producer whose answers, but not numbers, were forgotten.
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
  | 'forgot';

export interface Fault {
  kind: FaultKind;
  /** Between 0 and 1, of the time that a call of this kind may take. */
  share: number;
  /** When a late append is executed, counted from its sending. */
  lateMs: number;
}

const REMEMBERED_APPENDS = 5;
const CALL_TIMEOUT_MS = 1_200;
const CONNECT_TIMEOUT_MS = 800;
const SERVED_WITHIN_MS = 40;
/** When a late append is executed, counted from its sending: least and most. */
export const LATE_MS = [1_000, 6_000] as const;

export const faultOf = (kind: FaultKind, share = 0): Fault => ({ kind, share, lateMs: LATE_MS[0] });

/** One partition of the platform's store, with the numbers of its producers. */
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
    const answers = [...series.answers, offset].slice(-REMEMBERED_APPENDS);
    producers.set(name, { epoch, last: sequence, answers });
    return Ok({ offset });
  };

  const forget = (name: string): void => {
    producers.get(name)?.answers.splice(0);
  };

  return { log, appendAs, forget };
};

export type Partition = ReturnType<typeof newPartition>;

const show = (answer: Answer): string => JSON.stringify(answer.val);

/** The partition as one host reaches it: each append meets the next of the host's faults. */
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
    const fault = this.faults.shift() ?? faultOf('none');
    const bodies = records.map(String);
    const label = `${producer.name} epoch ${producer.epoch} seq ${producer.sequence}`;
    this.note(`${label} sends [${bodies.join(' ')}] (${fault.kind})`);
    if (fault.kind === 'forgot') this.partition.forget(producer.name);
    const answer = await this.meet(fault, () => {
      const done = this.partition.appendAs(producer, bodies);
      this.note(`${label} [${bodies.join(' ')}] executed: ${show(done)}`);
      return done;
    });
    this.note(`${label} is answered ${show(answer)}`);
    return answer;
  }

  private note(line: string): void {
    this.trace.push(`${this.clock.now()} ${line}`);
  }

  private async pass(ms: number): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + Math.round(ms));
  }

  private async meet({ kind, share, lateMs }: Fault, execute: () => Answer): Promise<Answer> {
    const unanswered = Err<StoreFault>({ type: 'unknown', reason: kind });
    switch (kind) {
      case 'refused':
        await this.pass(share * SERVED_WITHIN_MS);
        return Err({ type: 'not-done', reason: 'status 503' });
      case 'unconnected':
        await this.pass(share * CONNECT_TIMEOUT_MS);
        return Err({ type: 'not-done', reason: 'ECONNREFUSED' });
      case 'lost':
        await this.pass(share * CALL_TIMEOUT_MS);
        execute();
        await this.pass((1 - share) * CALL_TIMEOUT_MS);
        return unanswered;
      case 'silent':
        await this.pass(CALL_TIMEOUT_MS);
        return unanswered;
      case 'late':
        this.pass(lateMs).then(execute);
        await this.pass(share * CALL_TIMEOUT_MS);
        return unanswered;
      case 'seq':
        await this.pass(share * SERVED_WITHIN_MS);
        return Err({ type: 'sequence', expected: 0 });
      case 'fenced':
        await this.pass(share * SERVED_WITHIN_MS);
        return Err({ type: 'fenced' });
      default: {
        const callMs = kind === 'slow' ? CALL_TIMEOUT_MS - 1 : SERVED_WITHIN_MS;
        await this.pass((share * callMs) / 2);
        const answer = execute();
        await this.pass((share * callMs) / 2);
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

  keyed(): never {
    throw new Error('unused');
  }
}

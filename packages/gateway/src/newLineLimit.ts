import type Clock from '@cyclamengate/common/Clock';
import type { EventFields, EventLog } from '@cyclamengate/common/newEventLog';

const MS_PER_SECOND = 1_000;

/**
 * Writes at most some lines a second. While places are scarce hundreds of requests wait or are refused
 * each second, and a line for each would cost more than the request. The next line says how many
 * were left out.
 */
const newLineLimit = (clock: Clock, log: EventLog, linesPerSecond: number) => {
  let secondEndsAt = -Infinity;
  let written = 0;
  let leftOut = 0;

  return (event: string, readFields: () => EventFields): void => {
    if (clock.now() >= secondEndsAt) {
      secondEndsAt = clock.now() + MS_PER_SECOND;
      written = 0;
    }
    if (written >= linesPerSecond) {
      leftOut += 1;
      return;
    }
    written += 1;
    log.info(event, leftOut > 0 ? { ...readFields(), leftOut } : readFields());
    leftOut = 0;
  };
};

export default newLineLimit;

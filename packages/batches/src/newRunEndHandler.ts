import type Clock from '@cyclamengate/common/Clock';
import assertNever from '@cyclamengate/common/assertNever';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Notifier } from '@cyclamengate/common/newNotifier';
import type { Health } from '@cyclamengate/engines/newHealth';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import type { BatchState } from './newBatchState.js';
import type { ItemFinisher } from './newItemFinisher.js';
import type { Refusals } from './newRefusals.js';
import type { RepeatCause, RepeatCounter } from './newRepeatCounter.js';
import type { ItemTask } from './newTaskList.js';
import type { InterruptionCause, RunEnd } from './runOnce.js';

/** Backoff of an item after its first failed run; doubles with each further one. */
const INITIAL_BACKOFF_MS = 30;
const MAX_BACKOFF_MS = 800;

export interface RunEndHandlerOptions extends Pick<ItemFinisher, 'abandon' | 'score'> {
  clock: Clock;
  log: EventLog;
  health: Health;
  refusals: Pick<Refusals, 'record'>;
  repeats: Pick<RepeatCounter, 'countRun'>;
  routeOf: (state: BatchState) => Route | undefined;
  /** Wakes the runner. */
  notifier: Notifier;
}

/** Whether an interruption is the upstream's doing, so that it is avoided for a while. */
const isUpstreamFault = (cause: InterruptionCause): boolean =>
  cause === 'silent' || cause === 'cut';

/** Handles the end of an item's run: scores the item, runs it again, or abandons it. */
const newRunEndHandler = (options: RunEndHandlerOptions) => {
  const { clock, log, health, refusals, repeats, routeOf, abandon, score, notifier } = options;

  const requeue = (task: ItemTask, delayMs: number): void => {
    task.phase = 'waiting';
    task.retryAt = clock.now() + delayMs;
    notifier.notify();
  };

  const repeat = (task: ItemTask, cause: RepeatCause, delayMs = 0): void => {
    repeats.countRun(cause, task.progress.events.length);
    requeue(task, delayMs);
  };

  const backoffMs = (task: ItemTask): number =>
    Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** Math.min(task.failedRuns, 5));

  return async (task: ItemTask, upstream: string, end: RunEnd): Promise<void> => {
    const { item, state } = task;
    const route = routeOf(state);
    if (task.controller.signal.aborted) return;
    if (end.type !== 'whole' && end.type !== 'broken') {
      const { type, ...why } = end;
      log.info('item.run-ended', { requestId: item.id, upstream, end: type, ...why });
    }
    switch (end.type) {
      case 'whole':
        health.recordSuccess(upstream);
        await score(task);
        return;
      case 'impossible':
        await abandon(task, 'the engine says that it can never be done', 'impossible');
        return;
      case 'broken':
        log.error('item.run-broken', { requestId: item.id, upstream, error: end.error });
        health.recordFailure(upstream, 'unreadable answer');
        task.failedRuns += 1;
        task.avoidedUpstream = upstream;
        repeat(task, 'failed', backoffMs(task));
        return;
      case 'failed':
        task.failures += end.status === 500 ? 1 : 0;
        task.failedRuns += 1;
        task.avoidedUpstream = upstream;
        if (task.failures >= (route?.maxUpstreams ?? 1))
          await abandon(task, 'failed too often', 'failed');
        else repeat(task, 'failed', backoffMs(task));
        return;
      case 'not-run':
        if (end.isUnreachable) health.recordFailure(upstream, end.reason);
        else refusals.record(upstream, state.batch.model);
        task.avoidedUpstream = upstream;
        repeat(task, end.isUnreachable ? 'crash' : 'refused');
        return;
      case 'held':
      case 'unread':
      case 'no-room':
        requeue(task, end.retryAt - clock.now());
        return;
      case 'interrupted':
        if (isUpstreamFault(end.cause)) health.recordFailure(upstream, end.reason);
        task.avoidedUpstream = upstream;
        repeat(task, end.cause);
        break;
      default:
        assertNever(end);
    }
  };
};

export default newRunEndHandler;

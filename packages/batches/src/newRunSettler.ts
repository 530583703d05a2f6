import type Clock from '@cyclamengate/common/Clock';
import assertNever from '@cyclamengate/common/assertNever';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Notifier } from '@cyclamengate/common/newNotifier';
import type { Health } from '@cyclamengate/engines/newHealth';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import type { BatchState } from './newBatches.js';
import type { ItemFinisher } from './newItemFinisher.js';
import type { Refusals } from './newRefusals.js';
import type { ItemTask } from './newTaskList.js';
import type { RunEnd } from './runOnce.js';

/** First pause of an item after a failed run; doubles. */
const FIRST_PAUSE_MS = 30;
const LONGEST_PAUSE_MS = 800;

export interface RunSettlerOptions extends Pick<ItemFinisher, 'abandon' | 'score'> {
  clock: Clock;
  log: EventLog;
  health: Health;
  refusals: Refusals;
  routeOf: (state: BatchState) => Route | undefined;
  /** Wakes the runner. */
  notifier: Notifier;
}

/** Decides what follows the end of an item's run: its score, another run, or that it is given up. */
const newRunSettler = (options: RunSettlerOptions) => {
  const { clock, log, health, refusals, routeOf, abandon, score, notifier } = options;

  const putBack = (task: ItemTask, pauseMs: number): void => {
    task.phase = 'waiting';
    task.notBefore = clock.now() + pauseMs;
    notifier.notify();
  };

  const pauseOf = (task: ItemTask): number =>
    Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(task.setbacks, 5));

  return async (task: ItemTask, upstream: string, end: RunEnd): Promise<void> => {
    const { item, state } = task;
    const route = routeOf(state);
    if (task.controller.signal.aborted) return;
    if (end.type !== 'whole') {
      const { type, ...why } = end;
      log.info('item.run-ended', { requestId: item.id, upstream, end: type, ...why });
    }
    switch (end.type) {
      case 'whole':
        health.succeeded(upstream);
        await score(task);
        return;
      case 'impossible':
        await abandon(task, 'the engine says that it can never be done');
        return;
      case 'failed':
        task.failures += end.status === 500 ? 1 : 0;
        task.setbacks += 1;
        task.avoid = upstream;
        if (task.failures >= (route?.mostUpstreams ?? 1)) await abandon(task, 'failed too often');
        else putBack(task, pauseOf(task));
        return;
      case 'not-run':
        if (end.isUnreachable) health.failed(upstream, end.reason);
        else refusals.note(upstream, state.batch.model);
        task.avoid = upstream;
        putBack(task, 0);
        return;
      case 'interrupted':
        if (end.isUpstreamFault) health.failed(upstream, end.reason);
        task.avoid = upstream;
        putBack(task, 0);
        break;
      default:
        assertNever(end);
    }
  };
};

export default newRunSettler;

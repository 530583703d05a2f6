import type { Metrics } from '@cyclamengate/common/newMetrics';

/** Why an item had to run again. */
export type RepeatCause =
  /** The engine could not be reached. */
  | 'crash'
  /** The engine took no request for the model, mostly since it was loading weights. */
  | 'refused'
  /** This host moved the item to another engine. */
  | 'moved'
  /** No event came in time. */
  | 'silent'
  /** The connection broke, also since its engine crashed. */
  | 'cut'
  /** The engine's weights had a version that the step does not allow. */
  | 'version'
  /** The engine answered with an error. */
  | 'failed'
  /** Another host ran the item before and had written a part of its text. */
  | 'host_change';

/** Counts runs of items that had to be repeated, by cause, and the events that each kept. */
const newRepeatCounter = (metrics: Pick<Metrics, 'count'>) => ({
  countRun: (cause: RepeatCause, keptEvents: number): void => {
    metrics.count(`item_runs_repeated_${cause}`);
    metrics.count('item_events_kept', keptEvents);
  },
  countDiscarded: (events: number): void => metrics.count('item_events_discarded', events),
});

export type RepeatCounter = ReturnType<typeof newRepeatCounter>;

export default newRepeatCounter;

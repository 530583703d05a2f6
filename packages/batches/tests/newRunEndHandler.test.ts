import newMetrics from '@cyclamengate/common/newMetrics';
import newNotifier from '@cyclamengate/common/newNotifier';
import newHealth from '@cyclamengate/engines/newHealth';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newBatches from '../src/newBatches.js';
import newPartialTexts from '../src/newPartialTexts.js';
import newRefusals from '../src/newRefusals.js';
import newRepeatCounter from '../src/newRepeatCounter.js';
import newRunEndHandler from '../src/newRunEndHandler.js';
import newTaskList from '../src/newTaskList.js';
import type { RunEnd } from '../src/runOnce.js';
import { newBatch, newItem, silentLog } from './helpers.js';
import { batchRoute } from './newRunnerHost.js';

const interrupted = (cause: 'moved' | 'silent' | 'cut' | 'version'): RunEnd => ({
  type: 'interrupted',
  reason: 'test',
  cause,
});

const CASES: { cause: string; end: RunEnd; isFault: boolean }[] = [
  { cause: 'moved', end: interrupted('moved'), isFault: false },
  { cause: 'version', end: interrupted('version'), isFault: false },
  { cause: 'silent', end: interrupted('silent'), isFault: true },
  { cause: 'cut', end: interrupted('cut'), isFault: true },
  { cause: 'crash', end: { type: 'not-run', reason: 'test', isUnreachable: true }, isFault: true },
  {
    cause: 'refused',
    end: { type: 'not-run', reason: 'test', isUnreachable: false },
    isFault: false,
  },
  { cause: 'failed', end: { type: 'failed', status: 500 }, isFault: false },
  { cause: 'failed', end: { type: 'broken', error: 'test' }, isFault: true },
];

for (const { cause, end, isFault } of CASES) {
  test(`a run that is repeated is counted by its cause: ${cause}, ${end.type}`, async (t) => {
    // A quarter of all runs was repeated, and no count said why.
    const clock = newManualClock();
    const metrics = newMetrics();
    const health = newHealth(clock, silentLog);
    const batches = newBatches({ clock, retentionMs: 9_000, parts: newPartialTexts(clock) });
    const tasks = newTaskList({ clock, log: silentLog, findText: batches.findText });
    const handleRunEnd = newRunEndHandler({
      clock,
      log: silentLog,
      health,
      refusals: newRefusals(clock),
      repeats: newRepeatCounter(metrics),
      routeOf: () => batchRoute,
      abandon: async () => {},
      score: async () => {},
      notifier: newNotifier(clock),
    });
    batches.apply(newBatch('b', [newItem('1')]));
    const [task] = tasks.reconcile(batches.open());
    if (!task) throw new Error('no task');
    task.progress.events.push('one', 'two');
    await handleRunEnd(task, 'a', end);
    t.is(task.phase, 'waiting');
    t.is(metrics.readCounter(`item_runs_repeated_${cause}`), 1);
    t.is(metrics.readCounter('item_events_kept'), 2);
    t.is(health.isBackedOff('a'), isFault);
  });
}

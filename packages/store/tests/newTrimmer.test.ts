import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newMemoryStore from '../src/newMemoryStore.js';
import newTrimmer from '../src/newTrimmer.js';
import silentLog from './silentLog.js';

test('only records older than the retention period are deleted', async (t) => {
  const clock = newManualClock();
  const memory = newMemoryStore();
  const store = memory.newView();
  const trim = newTrimmer({ clock, log: silentLog, store, topic: 'parts', retentionMs: 30_000 });
  for (let second = 0; second < 60; second += 1) {
    trim(memory.put('parts', [Buffer.from(`of second ${second}`)]));
    await clock.advance(1_000);
  }
  const retained = memory.bodies('parts').map(String);
  t.true(retained.includes('of second 31'));
  t.true(retained.length < 40);
});

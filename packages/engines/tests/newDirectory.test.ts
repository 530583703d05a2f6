import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newDirectory from '../src/newDirectory.js';
import type { UpstreamEntry } from '../src/upstreamEntry.js';
import { newEntry as newListedEntry, silentLog } from './helpers.js';

const newEntry = (changes: Partial<UpstreamEntry> = {}): UpstreamEntry =>
  newListedEntry('a', { sequence: 1, ...changes });

test('an entry that is executed late does not make a draining upstream usable', (t) => {
  // Guards against requests to an upstream that has said that it is leaving.
  const directory = newDirectory(newManualClock(), silentLog);
  directory.put(newEntry({ sequence: 5 }));
  directory.put(newEntry({ sequence: 7, isDraining: true }));
  directory.put(newEntry({ sequence: 6 }));
  t.true(directory.find('a')?.isDraining);
  directory.put(newEntry({ sequence: 8, isDraining: true, slots: 4 }));
  t.is(directory.find('a')?.slots, 4);
});

test('an entry that is executed late does not bring an upstream back that is gone', (t) => {
  const directory = newDirectory(newManualClock(), silentLog);
  directory.put(newEntry({ sequence: 5 }));
  directory.remove('a');
  directory.put(newEntry({ sequence: 4 }));
  t.is(directory.find('a'), undefined);
  directory.put(newEntry({ sequence: 6 }));
  t.truthy(directory.find('a'));
});

test('an upstream that starts again counts anew, and one that counts nothing is believed', (t) => {
  // Guards against an upstream that is never used again since its numbers begin at 0.
  const directory = newDirectory(newManualClock(), silentLog);
  directory.put(newEntry({ sequence: 50, isDraining: true }));
  directory.put(newEntry({ sequence: 0, startedAt: 2 }));
  t.false(directory.find('a')?.isDraining);
  directory.put(newEntry({ sequence: null, startedAt: 2, isDraining: true }));
  directory.put(newEntry({ sequence: null, startedAt: 2 }));
  t.false(directory.find('a')?.isDraining);
});

test('the deletion of an upstream that was draining is final, also after an outage', (t) => {
  // Guards against requests to an upstream that has left, since its entry may have expired.
  const directory = newDirectory(newManualClock(), silentLog);
  directory.put(newEntry({ isDraining: true }));
  directory.startGracePeriod();
  directory.remove('a');
  t.is(directory.find('a'), undefined);
});

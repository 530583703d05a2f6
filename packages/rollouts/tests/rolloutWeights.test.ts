import newLogger from '@cyclamengate/common/newLogger';
import newMetrics from '@cyclamengate/common/newMetrics';
import { Ok } from '@cyclamengate/common/outcome';
import newFollower from '@cyclamengate/coordination/newFollower';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newEffectiveSettings from '@cyclamengate/settings/newEffectiveSettings';
import { subtreeSettingsSchema } from '@cyclamengate/settings/subtreeSettings';
import type ModelEngine from '@cyclamengate/upstreams/ModelEngine';
import test from 'ava';
import rolloutWeights from '../src/rolloutWeights.js';

const SILENT_LEVEL = 6;
const ENGINES = ['a', 'b', 'c', 'd'];

// Two trainers that share engines publish concurrently. If each had half of the engines load its
// weights, no engine would be left to serve requests.
test('two trainers together have at most half of the engines load weights concurrently', async (t) => {
  const clock = newManualClock();
  const follower = newFollower(clock);
  ['one', 'two'].forEach((trainer, offset) => {
    const record = { type: 'weights-published', trainer, version: 1 };
    const body = JSON.stringify({ version: 1, id: trainer, writer: 'test', record });
    follower.ingest({ records: [{ offset, at: 0, body }], first: 0, logFirst: 0, ageMs: 0 });
  });
  const subtree = subtreeSettingsSchema.parse({
    trainers: ['one', 'two'].map((id) => ({ id, customer: 'players', service: 'tone' })),
  });
  const ordered: string[] = [];
  const status = { active: 0, slots: 8, isLeaving: false, versions: {}, loading: {} };
  const engine = {
    readStatus: async (id: string) => Ok({ ...status, id }),
    orderWeights: async (id: string) => {
      ordered.push(id);
      return Ok({ ...status, id });
    },
  } as unknown as ModelEngine;
  const stop = new AbortController();
  const running = rolloutWeights(
    {
      clock,
      log: newLogger('test', SILENT_LEVEL),
      metrics: newMetrics(),
      follower,
      readSettings: () => newEffectiveSettings({ '/': { revision: 0, subtree } }),
      readUpstreams: () =>
        ENGINES.map((id) => ({
          id,
          url: id,
          service: 'tone',
          failureDomain: 'argos-c',
          kind: 'standard' as const,
          state: 'live' as const,
          reclaimed: false,
        })),
      engine,
      lease: {
        run: async () => undefined,
        holdFor: () => ({ fence: 1, deadline: Infinity }),
        release: async () => undefined,
      },
    },
    stop.signal,
  );
  await clock.advance(100);
  stop.abort();
  await running;
  t.deepEqual(ordered, ['a', 'b']);
});

import { restore } from '@cyclamengate/common/restore';
import test from 'ava';
import { hostSettingsSchema } from '../src/hostSettings.js';

const parseShares = (shares?: unknown) =>
  restore(hostSettingsSchema, {
    host: 'a',
    failureDomain: 'detroit',
    address: '10.0.0.1',
    processor: { cores: 1, share: 0.3 },
    listen: {
      callers: '10.0.0.1:1',
      readiness: '10.0.0.1:2',
      peers: '10.0.0.1:3',
      metricsPort: 9_464,
    },
    store: { address: '10.0.0.1:4' },
    duties: { address: '10.0.0.1:5' },
    terms: { leaseMs: 1_000, shutdownSeconds: 1, usageWindowSeconds: 1, batchLifeSeconds: 1 },
    shares,
  });

test('shares have defaults, and one out of range is refused with its field', (t) => {
  // Guards against a reserve that leaves no place to anyone, and against a misspelt field.
  const defaults = parseShares();
  t.deepEqual(defaults.ok && defaults.val.shares, {
    reservedPart: 0.25,
    floorPart: 0.05,
    maxWaiting: 512,
  });
  const bad = { reservedPart: 0.51, floorPart: -0.1, maxWaiting: 0 };
  Object.entries(bad).forEach(([field, value]) => {
    const settings = parseShares({ [field]: value });
    t.is(settings.ok ? '' : settings.val[0]?.path, `shares.${field}`);
  });
  t.false(parseShares({ reserved: 0.1 }).ok);
});

test('settings that do not say how often upstreams write have a usual interval', (t) => {
  // Guards against a host that does not start since the platform leaves a value of the template empty.
  const settings = parseShares();
  t.is(settings.ok ? settings.val.terms.upstreamWriteIntervalMs : 0, 1_200);
  [null, 'undefined', '', {}].forEach((value) =>
    t.is(restore(hostSettingsSchema.shape.terms.shape.upstreamWriteIntervalMs, value).val, 1_200),
  );
});

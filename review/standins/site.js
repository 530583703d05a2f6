/** The manifest of a small deployment, with the figures of the association's sheet. */
export const ZONES = ['detroit', 'cleveland', 'milwaukee'];
export const HOST_NAME = 'parts.example';
export const MODEL = 'xref-assistant';
export const TENANT = 'member-shops';
export const KEY = 'key-of-the-member-shops';

export const newManifest = ({ isSingleVersion = false } = {}) => ({
  version: 1,
  routes: [
    {
      name: 'parts-lookup',
      host: HOST_NAME,
      'path-prefix': '/lookup/',
      kind: 'idempotent',
      'timeout-ms': 1_500,
      'target-latency-ms': 186,
      'max-attempts': 4,
      priority: 2,
      service: 'member-portal',
    },
    {
      name: 'xref-rollout',
      host: HOST_NAME,
      'path-prefix': '/rounds/',
      kind: 'rollout',
      'single-version': isSingleVersion,
      'timeout-ms': 10_000,
      'target-latency-ms': 400,
      'max-attempts': 3,
      'result-deadline-ms': 7_500,
      'retention-s': 40,
      priority: 1,
      service: 'assist-models',
    },
    {
      name: 'catalog-sync',
      host: HOST_NAME,
      'path-prefix': '/score/',
      kind: 'idempotent',
      'timeout-ms': 1_500,
      'target-latency-ms': 193,
      'max-attempts': 4,
      priority: 2,
      public: true,
      service: 'member-portal',
    },
  ],
  services: [
    { name: 'assist-models', 'max-connections': 140, engine: { models: [{ name: MODEL }] } },
    { name: 'member-portal', 'max-connections': 100 },
  ],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 33_554_432,
    'header-timeout-ms': 3_000,
    'idle-timeout-ms': 15_000,
  },
  tenants: [{ name: TENANT, 'api-keys': [KEY] }],
});

/** The headers of a call for a batch. */
export const callHeaders = (id) => ({
  host: HOST_NAME,
  'x-api-key': KEY,
  'attempt-id': id,
  'content-type': 'application/json',
});

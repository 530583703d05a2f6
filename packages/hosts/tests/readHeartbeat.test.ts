import test from 'ava';
import { coordinationRecordSchema, heartbeatSchema } from '../src/coordinationRecord.js';
import readHeartbeat from '../src/readHeartbeat.js';

const valid = {
  type: 'heartbeat',
  host: 'host-1',
  incarnation: 'host-1-run',
  number: 7,
  failureDomain: 'detroit',
  address: '10.0.0.1:7780',
  cores: 0.5,
  isLeaving: false,
  running: { 'engine-1': 2 },
  demand: { models: 3 },
  paces: { 'engine-1': 0.7 },
  usage: { '12': { museum: 4 } },
  countedThrough: 11,
};

/** What records of other programs or versions may hold in place of any field, or within it. */
const VALUES = [
  ...['null', 'true', 'false', '0', '-0', '-1', '0.5', '9007199254740992', '1e999', '-1e999'],
  ...['""', '"heartbeat"', '"lease"', '[]', '[1]', '{}', '{"a":1}', '{"a":-1}', '{"a":0.5}'],
  ...[
    '{"a":null}',
    '{"a":"1"}',
    '{"a":1e999}',
    '{"__proto__":1}',
    '{"a":{"b":1}}',
    '{"a":{"b":-1}}',
  ],
  ...['-2', '4097', '1000000000', '1000000001', '99999999999', '100000000000', '9007199254740991'],
  ...[
    '"127.0.0.1:99999"',
    '"999.0.0.1:80"',
    '"127.0.0.1:0"',
    '"10.0.0.9:1"',
    '"::1:80"',
    '"__proto__"',
  ],
  ...[
    `"${'x'.repeat(512)}"`,
    `"${'x'.repeat(513)}"`,
    '{"a":1000000001}',
    '{"12":{"a":1000000001}}',
  ],
  ...[
    '{"-5":{}}',
    '{"05":{}}',
    '{"99999999999":{}}',
    '{"100000000000":{}}',
    '{"1e5":{}}',
    '{"":{}}',
  ],
  ...['{"a":{"b":0.5}}', '{"a":[]}', '{"a":{"__proto__":1}}', '{"1":{"constructor":2}}'],
];

const FIELDS = [...Object.keys(valid), 'unknown', '__proto__', 'constructor'];

/** The JSON of a heartbeat with some fields replaced or added; an empty value leaves a field out. */
const encodeWith = (changes: Record<string, string>): string => {
  const kept = Object.entries(valid).filter(([key]) => !(key in changes));
  const fields = [
    ...kept.map(([key, value]) => `"${key}":${JSON.stringify(value)}`),
    ...Object.entries(changes).flatMap(([key, json]) => (json === '' ? [] : `"${key}":${json}`)),
  ];
  return `{${fields.join(',')}}`;
};

const withField = (changes: Record<string, string>, field: string, json: string) =>
  Object.fromEntries([...Object.entries(changes), [field, json]]);

test('a heartbeat is read as its schema reads it, or left to the schema', (t) => {
  // Guards against records of other programs that are taken without a check.
  const single = FIELDS.flatMap((field) =>
    [...VALUES, ''].map((json) => encodeWith(withField({}, field, json))),
  );
  const paired = VALUES.flatMap((running) =>
    VALUES.map((usage) => encodeWith({ running, usage, unknown: running })),
  );
  let readCount = 0;
  [...single, ...paired].forEach((json) => {
    const record: unknown = JSON.parse(json);
    const read = readHeartbeat(record);
    if (read === null) return;
    readCount += 1;
    const restored = coordinationRecordSchema.safeParse(record);
    t.true(restored.success, json);
    t.deepEqual(read, restored.data as typeof read, json);
  });
  t.true(readCount > FIELDS.length);
});

test('a whole heartbeat is read with every field of its schema', (t) => {
  // Guards against a field that is added to the schema and lost on the way.
  t.deepEqual(Object.keys(valid).sort(), Object.keys(heartbeatSchema.shape).sort());
  t.deepEqual(readHeartbeat(valid), heartbeatSchema.parse(valid));
  const { demand, paces, ...withoutOptional } = valid;
  t.deepEqual(readHeartbeat(withoutOptional), heartbeatSchema.parse(withoutOptional));
});

test('what is no heartbeat is left to the schema', (t) => {
  // Guards against a start that fails on a record of another kind, and against numbers beyond JSON's.
  [null, 3, 'heartbeat', [], { type: 'lease' }, { type: 'heartbeat' }].forEach((record) =>
    t.is(readHeartbeat(record), null),
  );
  t.is(readHeartbeat({ ...valid, cores: Infinity }), null);
  t.is(readHeartbeat({ ...valid, paces: { 'engine-1': -Infinity } }), null);
});

import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';
import type { Batch, Item, TextPlace, TextRun } from '../src/batchRecord.js';
import type { EventReader, StreamEvent } from '../src/EventReader.js';
import newBatchHead from '../src/newBatchHead.js';
import newSegmentBuilder from '../src/newSegmentBuilder.js';
import { toItemRequest } from '../src/requestSegment.js';
import { joinRuns, runsOf } from '../src/textRecords.js';

export const silentLog = { info: () => {}, warn: () => {}, error: () => {} };

export const newItem = (id: string, changes: Partial<Item> = {}): Item => ({
  id,
  path: `/rounds/${id}`,
  headers: {},
  expectedTokens: 600,
  body: Buffer.from(`prompt of ${id}`).toString('base64'),
  group: `group of ${id}`,
  scoring: null,
  ...changes,
});

export const newBatch = (id: string, items: Item[], changes: Partial<Batch> = {}): Batch => ({
  type: 'batch',
  id,
  customer: 'museum',
  route: 'rounds',
  hostName: 'parts.example',
  acceptedAt: 1_800_000_000_000,
  step: 1,
  model: 'x',
  leastVersion: 1,
  wantedGroups: 1,
  items,
  ...changes,
});

/** The head of a batch, and what reads its segments from where it says that they are. */
export const newStoredBatch = (batch: Batch) => {
  const parts: Buffer[] = [];
  const runs: TextRun[][] = [];
  const builder = newSegmentBuilder({
    onPart: (segment, part) => {
      const run = { topic: 'texts-1', offset: parts.length, count: 1, bytes: part.length };
      parts.push(part);
      (runs[segment] ??= []).push(run);
    },
  });
  batch.items.map(toItemRequest).forEach(builder.addRequest);
  const heads = builder.end();
  const segments = runs.map((list) => joinRuns(list as [TextRun, ...TextRun[]]));
  const read = (place: TextPlace | null): Buffer =>
    Buffer.concat(runsOf(place).map(({ offset }) => parts[offset] as Buffer));
  return { head: newBatchHead(batch, heads, segments), read };
};

export const newEntry = (id: string, changes: Partial<UpstreamEntry> = {}): UpstreamEntry => ({
  id,
  service: 'models',
  host: '10.0.0.1',
  port: 8_080,
  failureDomain: 'detroit',
  slots: 8,
  isDraining: false,
  isSpot: false,
  startedAt: 1,
  coldUntil: -Infinity,
  models: [{ model: 'x', version: 1 }],
  ...changes,
});

export const newCandidate = (
  id: string,
  changes: Partial<Candidate> = {},
  entry: Partial<UpstreamEntry> = {},
): Candidate => ({
  entry: newEntry(id, entry),
  load: 0,
  pace: 1,
  lastingPace: 1,
  isBackedOff: false,
  isOwnDomain: true,
  isConnected: true,
  remainingStarts: Number.POSITIVE_INFINITY,
  ...changes,
});

/** Reads events that are one line of JSON each: `[id, data, version]`. */
export const newLineReader = (): EventReader => {
  let rest = '';
  return (chunk) => {
    const lines = (rest + chunk.toString()).split('\n');
    rest = lines.pop() ?? '';
    return lines.map((line): StreamEvent => {
      const [id, data, version] = JSON.parse(line) as [number, string, number | undefined];
      return { id: String(id), data, version: version ?? null };
    });
  };
};

export const eventLine = (id: number, data: string, version?: number): string =>
  `${JSON.stringify([id, data, version])}\n`;

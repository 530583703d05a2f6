import type { VersionSegment } from './sampleRecords.js';

/**
 * Whether all segments of a sample are within the staleness bound.
 * @param newest the trainer's newest published version
 * @param bound maximum number of versions that a segment may be behind
 */
const isFresh = (segments: readonly VersionSegment[], newest: number, bound: number): boolean =>
  segments.every(({ version }) => version >= newest - bound);

export default isFresh;

import type { VersionSegment } from './sampleRecords.js';

/**
 * Whether no part of a sample is older than the bound allows.
 * @param newest the trainer's newest published version
 * @param bound how many versions behind it a sample may be
 */
const isFresh = (segments: readonly VersionSegment[], newest: number, bound: number): boolean =>
  segments.every(({ version }) => version >= newest - bound);

export default isFresh;

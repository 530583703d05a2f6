import { joinRuns } from './textRecords.js';
import type { TextPlace, TextRun } from './batchRecord.js';

/** Parts that are written at a time; each takes some tens of milliseconds. */
const MAX_IN_FLIGHT = 3;

export interface SegmentWriterOptions {
  /**
   * Writes a part of a batch's requests in one append.
   * @param part number of the part; parts with different numbers may be written at the same time
   */
  writePart: (part: number, bytes: Buffer) => Promise<TextRun | null>;
}

/** Writes the segments of a batch while it arrives, a few parts at a time. */
const newSegmentWriter = ({ writePart }: SegmentWriterOptions) => {
  const segments: Promise<TextRun | null>[][] = [];
  const inFlight = new Set<Promise<unknown>>();
  let parts = 0;
  let hasFailed = false;

  return {
    add: (segment: number, bytes: Buffer): void => {
      if (hasFailed) return;
      const written = writePart(parts, bytes);
      parts += 1;
      (segments[segment] ??= []).push(written);
      const observed = written.then((run) => {
        hasFailed ||= run === null;
        inFlight.delete(observed);
      });
      inFlight.add(observed);
    },
    /** Resolves once another part may be added. */
    ready: async (): Promise<void> => {
      while (inFlight.size >= MAX_IN_FLIGHT) await Promise.race(inFlight);
    },
    hasFailed: (): boolean => hasFailed,
    /** @returns the locations of all segments; null if a part could not be written */
    end: async (): Promise<TextPlace[] | null> => {
      const runs = await Promise.all(segments.map((written) => Promise.all(written)));
      const places = runs.flatMap((list) => {
        const [first, ...rest] = list.filter((run) => run !== null);
        return first && rest.length + 1 === list.length ? [joinRuns([first, ...rest])] : [];
      });
      return places.length === runs.length ? places : null;
    },
  };
};

export type SegmentWriter = ReturnType<typeof newSegmentWriter>;

export default newSegmentWriter;

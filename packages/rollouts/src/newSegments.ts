import type { VersionSegment } from '@cyclamengate/coordination/sampleRecords';

/** Records, token by token, which weight versions produced a sample. */
const newSegments = () => {
  const segments: VersionSegment[] = [];
  return {
    add: (version: number): void => {
      const last = segments.at(-1);
      if (last?.version === version) last.tokens += 1;
      else segments.push({ version, tokens: 1 });
    },
    list: (): VersionSegment[] => segments.map((segment) => ({ ...segment })),
  };
};

export default newSegments;

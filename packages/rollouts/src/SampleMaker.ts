import type { Result } from '@cyclamengate/common/outcome';
import type { VersionSegment } from '@cyclamengate/coordination/sampleRecords';

/** Tokens with the versions that produced them. */
export interface MadeTokens {
  tokens: string[];
  segments: VersionSegment[];
}

export type MakeFault = 'failed' | 'refused-for-good';

/** Has samples generated and scored, on behalf of a trainer that presented its key. */
export default abstract class SampleMaker {
  abstract generate(
    key: string,
    service: string,
    prompt: string,
    maxTokens: number,
    signal: AbortSignal,
  ): Promise<Result<MadeTokens, MakeFault>>;

  abstract score(
    key: string,
    service: string,
    prompt: string,
    tokens: readonly string[],
    signal: AbortSignal,
  ): Promise<Result<number, MakeFault>>;
}

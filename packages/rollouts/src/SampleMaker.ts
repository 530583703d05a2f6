import type { Result } from '@cyclamengate/common/outcome';
import type { VersionSegment } from '@cyclamengate/coordination/sampleRecords';

/** Tokens and the weight versions that produced them. */
export interface GeneratedTokens {
  tokens: string[];
  segments: VersionSegment[];
}

export type SampleFault = 'failed' | 'refused-for-good';

/** Generates and scores samples on behalf of a trainer, with the key that the trainer presented. */
export default abstract class SampleMaker {
  abstract generate(
    key: string,
    service: string,
    prompt: string,
    maxTokens: number,
    signal: AbortSignal,
  ): Promise<Result<GeneratedTokens, SampleFault>>;

  abstract score(
    key: string,
    service: string,
    prompt: string,
    tokens: readonly string[],
    signal: AbortSignal,
  ): Promise<Result<number, SampleFault>>;
}

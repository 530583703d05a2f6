/**
 * Results as values. `ts-results` ships CommonJS without named exports that an ES module can see,
 * so it is unwrapped here once.
 */
import tsResults from 'ts-results';
import type { Result as TsResult } from 'ts-results';

export const { Ok, Err } = tsResults;

export type Result<T, E> = TsResult<T, E>;

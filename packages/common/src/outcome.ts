/**
 * Results as values. `ts-results` is a CommonJS package without named exports that an ES module can
 * import, so its exports are unwrapped here.
 */
import tsResults from 'ts-results';
import type { Result as TsResult } from 'ts-results';

export const { Ok, Err } = tsResults;

export type Result<T, E> = TsResult<T, E>;

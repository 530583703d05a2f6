import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';

const PROGRAM_FILE = 'host.cjs';
/** V8's code cache of the program; written by the build. */
export const CACHE_FILE = 'host.cache';

const readCache = (folder: string): Buffer | undefined => {
  try {
    return readFileSync(join(folder, CACHE_FILE));
  } catch {
    // The caller logs that there is none.
    return undefined;
  }
};

/**
 * The bundled program of a host as a script with its code cache, so that a start need not compile it.
 * @param folder of the build's output
 */
const newHostScript = (folder: string) => {
  const path = join(folder, PROGRAM_FILE);
  // Latin-1 takes one byte a character in memory; the bundle is ASCII.
  const source = readFileSync(path, 'latin1');
  const cachedData = readCache(folder);
  const script = new Script(`(function(require,module,exports){${source}\n})`, {
    filename: path,
    cachedData,
  });
  return {
    /** V8 rejects a cache that was written by another version, or under other flags. */
    isCached: cachedData !== undefined && script.cachedDataRejected === false,
    run: (): void => {
      const program = { exports: {} };
      const evaluate = script.runInThisContext() as (...values: unknown[]) => void;
      evaluate(createRequire(path), program, program.exports);
    },
    newCache: (): Buffer => script.createCachedData(),
  };
};

export default newHostScript;

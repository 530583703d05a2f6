import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/**
 * Creates a function that returns the memory of released buffers to the system at once.
 *
 * The runtime frees buffers when it collects its heap, which it may put off until they hold more
 * than the process may use. Its collector is exposed at the first call: a flag that is set earlier
 * would void the program's code cache.
 */
const newGarbageCollector = (): (() => void) => {
  let collect: (() => void) | null = null;
  return () => {
    if (!collect) {
      setFlagsFromString('--expose-gc');
      collect = runInNewContext('gc') as () => void;
    }
    collect();
  };
};

export default newGarbageCollector;

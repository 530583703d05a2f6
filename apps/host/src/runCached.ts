/** The file that the platform runs: starts the bundled program of a host with its code cache. */
import { dirname } from 'node:path';
import handleEarlySignals from '@cyclamengate/common/handleEarlySignals';
import newHostScript from './newHostScript.js';

// Before the program is read, which takes a while.
handleEarlySignals();
const script = newHostScript(dirname(process.argv[1] ?? ''));
if (!script.isCached) {
  const line = { time: new Date().toISOString(), level: 'WARN', event: 'process.uncached' };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}
script.run();

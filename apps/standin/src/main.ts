import { parseArgs } from 'node:util';
import newPlatformStandin from './newPlatformStandin.js';

const { values } = parseArgs({
  options: {
    port: { type: 'string', default: '7000' },
    slots: { type: 'string', default: '8' },
    'token-delay': { type: 'string', default: '2' },
    'prefill-delay': { type: 'string', default: '20' },
    'prefixes-cached': { type: 'string', default: '64' },
    'records-kept': { type: 'string', default: '100000' },
  },
});

const standin = await newPlatformStandin({
  port: Number(values.port),
  slots: Number(values.slots),
  tokenDelayMs: Number(values['token-delay']),
  prefillMs: Number(values['prefill-delay']),
  prefixesCached: Number(values['prefixes-cached']),
  recordsKept: Number(values['records-kept']),
});
process.stderr.write(`${JSON.stringify({ event: 'started', url: standin.url })}\n`);

const stop = (): void => {
  standin.close();
  process.exit(0);
};
process.on('SIGTERM', stop);
process.on('SIGINT', stop);

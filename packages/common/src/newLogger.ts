import { Logger } from 'tslog';

/** Caller keys look like `cgk_…`; whatever reaches a log line is masked, also inside texts. */
const CALLER_KEY = /cgk_[\w-]+/g;

export type Log = Logger<unknown>;

/** One JSON object a line on standard error, with caller keys masked wherever they stand. */
const newLogger = (program: string, minLevel = 3): Log =>
  new Logger<unknown>({
    name: program,
    type: 'json',
    minLevel,
    hideLogPositionForProduction: true,
    maskValuesRegEx: [CALLER_KEY],
    maskValuesOfKeys: ['authorization', 'key', 'x-api-key'],
    overwrite: { transportJSON: (line) => process.stderr.write(`${JSON.stringify(line)}\n`) },
  });

export default newLogger;

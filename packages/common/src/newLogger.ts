import { Logger } from 'tslog';

/** Caller keys look like `cgk_…`; whatever reaches a log line is masked, also inside texts. */
const CALLER_KEY = /cgk_[\w-]+/g;

export type Log = Logger<unknown>;

/** What is to be logged, with the logger's own fields under `_meta`. */
export interface LogLine {
  _meta: { date: Date; logLevelName: string };
  [field: string]: unknown;
}

const writeToStandardError = (line: LogLine): void => {
  process.stderr.write(`${JSON.stringify(line)}\n`);
};

/**
 * One JSON object a line, with caller keys masked wherever they stand.
 * @param write takes a line; standard error by default
 */
const newLogger = (program: string, minLevel = 3, write = writeToStandardError): Log =>
  new Logger<unknown>({
    name: program,
    type: 'json',
    minLevel,
    hideLogPositionForProduction: true,
    maskValuesRegEx: [CALLER_KEY],
    maskValuesOfKeys: ['authorization', 'key', 'x-api-key'],
    overwrite: { transportJSON: (line) => write(line as LogLine) },
  });

export default newLogger;

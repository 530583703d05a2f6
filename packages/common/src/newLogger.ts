import { Logger } from 'tslog';

/** Matches caller keys (`cgk_…`), also inside longer strings, to mask them in log lines. */
const CALLER_KEY = /cgk_[\w-]+/g;

export type Log = Logger<unknown>;

/** A log line, with the logger's own fields under `_meta`. */
export interface LogLine {
  _meta: { date: Date; logLevelName: string };
  [field: string]: unknown;
}

const writeToStandardError = (line: LogLine): void => {
  process.stderr.write(`${JSON.stringify(line)}\n`);
};

/**
 * Creates a logger that writes one JSON object per line, with caller keys masked.
 * @param write writes one line; standard error by default
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

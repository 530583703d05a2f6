import { write } from 'node:fs';
import newLogger from './newLogger.js';
import type { LogLine } from './newLogger.js';

const STANDARD_OUTPUT = 1;
const INFO_LEVEL = 3;
/** Lines that wait for the reader of the output; beyond this they are counted, not kept. */
const MOST_WAITING_BYTES = 262_144;

export type EventFields = Record<string, unknown>;

export interface EventLog {
  info: (event: string, fields?: EventFields) => void;
  warn: (event: string, fields?: EventFields) => void;
  error: (event: string, fields?: EventFields) => void;
}

/**
 * Lines that wait to be written, within a bound.
 *
 * Standard output is often a pipe, and a write to a full pipe blocks the whole process: a reader of
 * logs that stands still would stop the service. Lines are written by a background call, one at a
 * time; those that do not fit into the bound are left out, and a line tells how many.
 */
const newLineBuffer = (onLeftOut: (count: number) => string) => {
  let waiting: string[] = [];
  let waitingBytes = 0;
  let leftOut = 0;
  let isWriting = false;

  const flush = (): void => {
    if (isWriting || waiting.length === 0) return;
    const chunk = Buffer.from(waiting.join(''));
    waiting = [];
    waitingBytes = 0;
    isWriting = true;
    let written = 0;
    const writeRest = (): void =>
      write(STANDARD_OUTPUT, chunk, written, chunk.length - written, null, (error, bytes) => {
        written += error ? 0 : bytes;
        // A full pipe in non-blocking mode says EAGAIN: the rest is tried again a little later.
        const isFull = error?.code === 'EAGAIN';
        if ((!error || isFull) && written < chunk.length) {
          setTimeout(writeRest, isFull ? 20 : 0);
          return;
        }
        isWriting = false;
        flush();
      });
    writeRest();
  };

  return (line: string): void => {
    if (waitingBytes + line.length > MOST_WAITING_BYTES) {
      leftOut += 1;
      return;
    }
    if (leftOut > 0 && waitingBytes === 0) {
      waiting.push(onLeftOut(leftOut));
      leftOut = 0;
    }
    waiting.push(line);
    waitingBytes += line.length;
    setImmediate(flush);
  };
};

const format = (host: string, { _meta, ...fields }: LogLine): string => {
  const time = _meta.date.toISOString();
  return `${JSON.stringify({ time, level: _meta.logLevelName, host, ...fields })}\n`;
};

/** Events of one process as JSON lines on standard output. Never blocks, never holds a key. */
const newEventLog = (host: string): EventLog => {
  const put = newLineBuffer(
    (count) => `${JSON.stringify({ event: 'log.left-out', host, count })}\n`,
  );
  const logger = newLogger(host, INFO_LEVEL, (line) => put(format(host, line)));
  return {
    info: (event, fields) => logger.info({ event, ...fields }),
    warn: (event, fields) => logger.warn({ event, ...fields }),
    error: (event, fields) => logger.error({ event, ...fields }),
  };
};

export default newEventLog;

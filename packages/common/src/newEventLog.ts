import { write } from 'node:fs';
import newLogger from './newLogger.js';
import type { LogLine } from './newLogger.js';

const STDOUT_FD = 1;
const INFO_LEVEL = 3;
/** Maximum size of the lines waiting to be written; beyond it, lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 262_144;

export type EventFields = Record<string, unknown>;

export interface EventLog {
  info: (event: string, fields?: EventFields) => void;
  warn: (event: string, fields?: EventFields) => void;
  error: (event: string, fields?: EventFields) => void;
}

/**
 * A bounded buffer of lines for standard output.
 *
 * Standard output is often a pipe, and a synchronous write to a full pipe blocks the process, so a
 * stalled log reader would stop the service. Lines are written asynchronously, one write at a time.
 * Lines that exceed the bound are dropped, and a later line reports how many.
 */
const newLineBuffer = (formatDropped: (count: number) => string) => {
  let buffered: string[] = [];
  let bufferedBytes = 0;
  let droppedLines = 0;
  let isWriting = false;

  const flush = (): void => {
    if (isWriting || buffered.length === 0) return;
    const chunk = Buffer.from(buffered.join(''));
    buffered = [];
    bufferedBytes = 0;
    isWriting = true;
    let written = 0;
    const writeRest = (): void =>
      write(STDOUT_FD, chunk, written, chunk.length - written, null, (error, bytes) => {
        written += error ? 0 : bytes;
        // A full pipe in non-blocking mode fails with EAGAIN: the rest is retried after 20 ms.
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
    if (bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
      droppedLines += 1;
      return;
    }
    if (droppedLines > 0 && bufferedBytes === 0) {
      buffered.push(formatDropped(droppedLines));
      droppedLines = 0;
    }
    buffered.push(line);
    bufferedBytes += line.length;
    setImmediate(flush);
  };
};

const format = (host: string, { _meta, ...fields }: LogLine): string => {
  const time = _meta.date.toISOString();
  return `${JSON.stringify({ time, level: _meta.logLevelName, host, ...fields })}\n`;
};

/**
 * Writes the events of one process as JSON lines to standard output. Never blocks, and masks
 * callers' keys.
 */
const newEventLog = (host: string): EventLog => {
  const writeLine = newLineBuffer(
    (count) => `${JSON.stringify({ event: 'log.left-out', host, count })}\n`,
  );
  const logger = newLogger(host, INFO_LEVEL, (line) => writeLine(format(host, line)));
  return {
    info: (event, fields) => logger.info({ event, ...fields }),
    warn: (event, fields) => logger.warn({ event, ...fields }),
    error: (event, fields) => logger.error({ event, ...fields }),
  };
};

export default newEventLog;

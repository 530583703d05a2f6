/** Runs a case: writes its record, and ends the process with the status that the issue asks for. */
import { writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

const children = new Set();

/** Sees to it that a process ends with its case, also where the case takes too long. */
export const endWithCase = (child) => {
  children.add(child);
  child.once('exit', () => children.delete(child));
  return child;
};

process.once('SIGTERM', () => {
  children.forEach((child) => child.kill('SIGKILL'));
  process.kill(process.pid, 'SIGKILL');
});

/**
 * @param caseUrl `import.meta.url` of the case
 * @param play gets a function that writes a line of the record; returns whether the rule held, or
 *   null where it can't be judged
 */
export const runCase = async (caseUrl, play) => {
  const startedAt = Date.now();
  const lines = [];
  const record = (line) => lines.push(`${((Date.now() - startedAt) / 1_000).toFixed(3)} ${line}`);
  record(hasTrouble ? 'with the disruption' : 'without the disruption');
  let status = NOT_RUN;
  try {
    const isKept = await play(record);
    if (isKept === null) record('not judged: the case could not be played');
    else {
      status = isKept ? HELD : BROKEN;
      record(isKept ? 'the rule held' : 'the rule was broken');
    }
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
  }
  const text = `${lines.join('\n')}\n`;
  await writeFile(fileURLToPath(new URL('record.txt', caseUrl)), text);
  process.stdout.write(text.split('\n').slice(-12).join('\n'));
  process.exitCode = status;
};

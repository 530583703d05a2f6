/** The record of a case: what was sent, answered and run, with the time since its start. */
import { writeFile } from 'node:fs/promises';

export const sleep = (durationMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

export const newRecord = () => {
  const startedAt = performance.now();
  const lines = [];
  const now = () => performance.now() - startedAt;
  return {
    now,
    add: (text) => lines.push(`${(now() / 1_000).toFixed(3)} ${text}`),
    save: (path) => writeFile(path, `${lines.join('\n')}\n`),
  };
};

/** Whether the disruption of a case is on. */
export const hasTrouble = () => process.env.TROUBLE !== '0';

const BROKEN = 1;
const NOT_RUN = 2;

/**
 * Runs a case, writes its record into its folder, and sets the exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param play returns whether the rule was broken
 */
export const runCase = async (folder, play) => {
  const record = newRecord();
  try {
    const isBroken = await play(record);
    record.add(isBroken ? 'RULE BROKEN' : 'rule held');
    process.exitCode = isBroken ? BROKEN : 0;
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
    process.exitCode = NOT_RUN;
  }
  await record.save(new URL('record.txt', folder));
};

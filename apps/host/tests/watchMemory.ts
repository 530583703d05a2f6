import { readFile } from 'node:fs/promises';
import type { TestHost } from './newHosts.js';

const INTERVAL_MS = 20;
const KB_IN_MB = 1_024;

/** Memory of a process that no file backs, in MB; 0 once it has ended. */
const readMemoryMb = async (pid: number | undefined): Promise<number> => {
  const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
  return Number(/RssAnon:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / KB_IN_MB;
};

/** Watches how much memory hosts take, as the platform does. */
const watchMemory = (hosts: TestHost[]) => {
  const peaks = new Map<string, number>();
  const timer = setInterval(
    () =>
      hosts.forEach(async ({ name, child }) => {
        const usedMb = await readMemoryMb(child.pid);
        peaks.set(name, Math.max(usedMb, peaks.get(name) ?? 0));
      }),
    INTERVAL_MS,
  );
  return {
    /** The most that any host has taken so far, in MB. */
    peakMb: (): number => Math.max(0, ...peaks.values()),
    close: (): void => clearInterval(timer),
  };
};

export default watchMemory;

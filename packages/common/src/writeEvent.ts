import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

/** A reader that takes nothing for this long is taken for gone. */
const SLOW_READER_MS = 30_000;

/**
 * Writes one server-sent event and waits until there is room for the next. A reader whose
 * connection went silent would otherwise fill this host's memory, or hold its upstream for ever.
 */
const writeEvent = async (response: ServerResponse, data: string): Promise<void> => {
  if (response.destroyed) return;
  if (response.write(`data: ${data}\n\n`)) return;
  try {
    await once(response, 'drain', { signal: AbortSignal.timeout(SLOW_READER_MS) });
  } catch {
    response.destroy();
  }
};

export default writeEvent;

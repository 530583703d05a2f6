import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

/** A reader that accepts no data for this long is considered disconnected. */
const DRAIN_TIMEOUT_MS = 30_000;

/**
 * Writes one server-sent event and waits until the send buffer has room for the next. Otherwise an
 * unresponsive reader would fill this host's memory or occupy its upstream indefinitely.
 */
const writeEvent = async (response: ServerResponse, data: string): Promise<void> => {
  if (response.destroyed) return;
  if (response.write(`data: ${data}\n\n`)) return;
  try {
    await once(response, 'drain', { signal: AbortSignal.timeout(DRAIN_TIMEOUT_MS) });
  } catch {
    response.destroy();
  }
};

export default writeEvent;

import UpstreamClient from './UpstreamClient.js';
import type { UpstreamOutcome, UpstreamRequest } from './UpstreamClient.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** Passes all calls on to another client; subclasses change some of them. */
export default class DelegatingUpstreamClient extends UpstreamClient {
  protected readonly client: UpstreamClient;

  constructor(client: UpstreamClient) {
    super();
    this.client = client;
  }

  send(
    entry: UpstreamEntry,
    request: UpstreamRequest,
    firstByteDeadline: number,
    signal: AbortSignal,
  ): Promise<UpstreamOutcome> {
    return this.client.send(entry, request, firstByteDeadline, signal);
  }

  heldUntil(service: string, request: UpstreamRequest): number | null {
    return this.client.heldUntil(service, request);
  }

  isConnected(entry: UpstreamEntry): boolean {
    return this.client.isConnected(entry);
  }

  hasEnded(entry: UpstreamEntry): Promise<boolean> {
    return this.client.hasEnded(entry);
  }

  closeConnections(entry: UpstreamEntry): void {
    this.client.closeConnections(entry);
  }
}

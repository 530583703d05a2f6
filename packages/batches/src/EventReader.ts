/** One event of a stream. */
export interface StreamEvent {
  id: string;
  data: string;
  /** Version of the weights from this event on; null if the event does not state one. */
  version: number | null;
}

/** Parses chunks of a stream and returns the events that are complete so far. */
export type EventReader = (chunk: Buffer) => StreamEvent[];

/** One event of a stream. */
export interface StreamEvent {
  id: string;
  data: string;
  /** Version of the weights from this event on, where the event names one. */
  version: number | null;
}

/** Takes bytes of a stream as they come and gives the events that are whole now. */
export type EventReader = (chunk: Buffer) => StreamEvent[];

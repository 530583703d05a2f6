/** Exit statuses of the commands. */
export const EXIT_OK = 0;
export const EXIT_FAILED = 1;
export const EXIT_MISUSED = 2;

/** The result of a command: its exit status, and its output as text and as JSON. */
export interface CommandOutcome {
  status: number;
  text: string;
  json: unknown;
}

/** Creates the outcome of a command that failed with a message. */
export const newFailure = (message: string, status = EXIT_FAILED): CommandOutcome => ({
  status,
  text: message,
  json: { error: message },
});

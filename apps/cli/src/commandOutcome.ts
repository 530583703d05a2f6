/** Exit statuses of the commands. */
export const EXIT_OK = 0;
export const EXIT_FAILED = 1;
export const EXIT_MISUSED = 2;

/** What a command ends with: a text for a person, the same for a program, an exit status. */
export interface CommandOutcome {
  status: number;
  text: string;
  json: unknown;
}

/** A command that failed with one message. */
export const failed = (message: string, status = EXIT_FAILED): CommandOutcome => ({
  status,
  text: message,
  json: { error: message },
});

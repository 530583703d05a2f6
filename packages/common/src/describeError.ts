const MAX_MESSAGE_CHARACTERS = 300;
const MAX_STACK_CHARACTERS = 4_000;

export interface ErrorDescription {
  error: string;
  stack: string | null;
}

/** Anything can be thrown, also what can't be converted to a string. */
const toText = (thrown: unknown): string => {
  try {
    return String(thrown);
  } catch {
    return 'a value without a text';
  }
};

/** The text and the stack of anything that was thrown, of bounded length. */
const describeError = (thrown: unknown): ErrorDescription => {
  const stack: unknown = thrown instanceof Error ? thrown.stack : null;
  return {
    error: toText(thrown).slice(0, MAX_MESSAGE_CHARACTERS),
    stack: typeof stack === 'string' ? stack.slice(0, MAX_STACK_CHARACTERS) : null,
  };
};

export default describeError;

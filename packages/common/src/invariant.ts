/**
 * Throws when the condition is false. The error is never caught for recovery: it stops the process.
 */
const invariant: (condition: boolean, message: string) => asserts condition = (
  condition,
  message,
) => {
  if (!condition) throw new Error(`invariant broken: ${message}`);
};

export default invariant;

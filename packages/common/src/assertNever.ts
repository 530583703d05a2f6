/** Closes an exhaustive switch. Reaching it at run time is a broken invariant and throws. */
const assertNever = (value: never): never => {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
};

export default assertNever;

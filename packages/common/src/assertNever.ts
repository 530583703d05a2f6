/** Marks the unreachable case of an exhaustive switch. Throws if it is reached at run time. */
const assertNever = (value: never): never => {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
};

export default assertNever;

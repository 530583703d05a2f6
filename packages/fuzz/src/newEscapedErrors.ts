/** Collects the errors that nothing in this process has handled; each of them would end a host. */
const newEscapedErrors = () => {
  let errors: string[] = [];
  const note = (error: unknown): void => {
    errors.push(`escaped: ${error instanceof Error ? error.stack : String(error)}`);
  };
  process.on('unhandledRejection', note);
  process.on('uncaughtException', note);
  return {
    take: (): string[] => {
      const taken = errors;
      errors = [];
      return taken;
    },
  };
};

export default newEscapedErrors;

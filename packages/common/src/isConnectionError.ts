/** Modules of Node.js that call the listeners of one socket, HTTP message or other stream. */
const CONNECTION_FRAME =
  /\(node:(?:net|tls|_http_\w+|internal\/(?:stream_base_commons|streams\/\w+)):/;

/**
 * Whether an error was thrown in an event of one connection, by its stack: these events are called by the
 * modules of Node.js for connections. A stack that was cut off before them shows nothing.
 */
const isConnectionError = (thrown: unknown): boolean => {
  const stack: unknown = thrown instanceof Error ? thrown.stack : null;
  return typeof stack === 'string' && CONNECTION_FRAME.test(stack);
};

export default isConnectionError;

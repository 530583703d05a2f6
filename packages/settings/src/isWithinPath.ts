/** Whether a path is the given subtree or lies below it. */
const isWithinPath = (path: string, subtree: string): boolean =>
  subtree === '/' || path === subtree || path.startsWith(`${subtree}/`);

export default isWithinPath;

/** Thrown by an answer's body when it ends before it is whole. */
export default class BrokenAnswer extends Error {}

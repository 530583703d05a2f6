import { isKeyed, isWrite } from './storeScript.js';
import type { Fact, Step, Write } from './storeScript.js';

/** What a host has decided. */
export interface StoreView {
  /** By name, as in the effects of facts. */
  decisions: Map<string, unknown>;
  /** All addresses to which the host would make calls, with the name that the calls would bear. */
  addresses: [name: string, address: string][];
}

/** What hosts must have decided, by the facts of the well-formed records alone. */
export interface Expected {
  decisions: Map<string, unknown>;
  /** Keys under which an odd record stood as well: nothing is expected of them. */
  openKeys: Set<string>;
}

const isSame = (left: unknown, right: unknown): boolean =>
  JSON.stringify(left ?? null) === JSON.stringify(right ?? null);

const addFact = (decisions: Map<string, unknown>, { effects, requires }: Fact): void => {
  if (requires && !isSame(decisions.get(requires[0]), requires[1])) return;
  effects.forEach(([name, value]) => {
    if (value === undefined) decisions.delete(name);
    else decisions.set(name, value);
  });
};

/** Keys under which several records stood, one of them odd: the newest says what holds, or nothing. */
const findOpenKeys = (writes: Write[]): Set<string> => {
  const keyed = writes
    .filter(({ topic }) => isKeyed(topic))
    .map(({ bodies: [body = Buffer.alloc(1)], fact }) => ({
      key: body.toString('utf8', 1, 1 + (body[0] ?? 0)),
      isOdd: fact === null,
    }));
  const odd = new Set(keyed.filter(({ isOdd }) => isOdd).map(({ key }) => key));
  return new Set([...odd].filter((key) => keyed.filter((one) => one.key === key).length > 1));
};

/** Folds the facts of the steps that a host could read. */
export const computeExpected = (steps: Step[]): Expected => {
  const writes = steps.filter(isWrite);
  const decisions = new Map<string, unknown>();
  writes.forEach(({ fact }) => fact && addFact(decisions, fact));
  return { decisions, openKeys: findOpenKeys(writes) };
};

const MAX_PORT = 65_535;
const MAX_OCTET = 255;
/** What may stand in a header such as the one that names the engine. */
const NAME = /^[\x21-\x7e]+$/;

/** Whether a call can be made to an address, by the rules of IP alone. */
const isCallable = (address: string): boolean => {
  const [host = '', port = '', ...rest] = address.split(':');
  const octets = host.split('.');
  const isHost =
    octets.length === 4 &&
    octets.every((octet) => /^\d{1,3}$/.test(octet) && Number(octet) <= MAX_OCTET);
  const isPort = /^\d+$/.test(port) && Number(port) >= 1 && Number(port) <= MAX_PORT;
  return isHost && isPort && rest.length === 0;
};

const shorten = (value: unknown): string => (JSON.stringify(value) ?? 'nothing').slice(0, 120);

const checkAddresses = ({ addresses }: StoreView): string[] => [
  ...addresses
    .filter(([, address]) => !isCallable(address))
    .map(([name, address]) => `listed at an uncallable address: ${shorten([name, address])}`),
  ...addresses
    .filter(([name]) => !NAME.test(name))
    .map(([name]) => `listed under a name that no header bears: ${shorten([name])}`),
];

/** The operator's records follow one another; an odd one that looks like a newer one may be in force. */
const isNewerManifest = (found: unknown, wanted: unknown): boolean => {
  const [version, newest] = [found, wanted].map((value) => (value as unknown[] | undefined)?.[0]);
  return Number.isSafeInteger(version) && Number(version) > Number(newest);
};

const checkDecisions = ({ decisions }: StoreView, expected: Expected, hasGap: boolean): string[] =>
  [...expected.decisions].flatMap(([name, wanted]) => {
    const found = decisions.get(name);
    const isManifest = name === 'config';
    const isOpen = expected.openKeys.has(name.replace(/^engine /, '')) && (!isManifest || hasGap);
    if (isOpen || name === 'holder' || isSame(found, wanted)) return [];
    if (isManifest && isNewerManifest(found, wanted)) return [];
    return [`${name} is ${shorten(found)} in place of ${shorten(wanted)}`];
  });

/**
 * The faults of what a host has decided.
 * @param hasGap whether it may have read only the newest record of each key
 */
export const checkView = (view: StoreView, expected: Expected, hasGap: boolean): string[] => [
  ...checkAddresses(view),
  ...checkDecisions(view, expected, hasGap),
];

/** Whether all that is expected of one host holds for another: what it decided, by name. */
export const checkSame = (follower: StoreView, late: StoreView, expected: Expected): string[] =>
  [...follower.decisions]
    .filter(([name]) => !expected.openKeys.has(name.replace(/^engine /, '')))
    .filter(([name, value]) => !isSame(value, late.decisions.get(name)))
    .map(([name, value]) => {
      const other = shorten(late.decisions.get(name));
      return `${name} is ${shorten(value)} by the tail and ${other} by what is stored`;
    });

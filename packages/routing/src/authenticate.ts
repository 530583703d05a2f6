import type { IncomingHttpHeaders } from 'node:http';
import digest from '@cyclamengate/common/digest';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { CustomerSettings } from '@cyclamengate/settings/customerSettings';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';

/** Who a request runs for. Only the key's digest goes on from here. */
export interface Caller {
  customer: CustomerSettings;
  keyDigest: string;
}

export type AuthenticationFault = 'no-key' | 'two-keys' | 'unknown-key';

const BEARER = /^Bearer (\S+)$/;

const presentedKeys = (headers: IncomingHttpHeaders): string[] => {
  const bearer = BEARER.exec(headers.authorization ?? '')?.[1];
  const apiKey = headers['x-api-key'];
  return [bearer, apiKey].flat().filter((key): key is string => typeof key === 'string');
};

/**
 * Finds the customer of the key that came with a request. A request with two keys is refused, also
 * when both are good: whichever was taken, the request could run for the wrong customer.
 */
const authenticate = (
  headers: IncomingHttpHeaders,
  settings: EffectiveSettings,
): Result<Caller, AuthenticationFault> => {
  const [key, second] = presentedKeys(headers);
  if (!key) return Err('no-key' as const);
  if (second) return Err('two-keys' as const);
  const keyDigest = digest(key);
  const known = settings.keysByDigest.get(keyDigest);
  const customer = known && settings.customers.get(known.customer);
  return customer ? Ok({ customer, keyDigest }) : Err('unknown-key' as const);
};

export default authenticate;

import type { IncomingHttpHeaders } from 'node:http';
import digest from '@cyclamengate/common/digest';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { CustomerSettings } from '@cyclamengate/settings/customerSettings';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';

/** The customer that a request runs for. Only the digest of the key is kept, not the key itself. */
export interface Caller {
  customer: CustomerSettings;
  keyDigest: string;
}

export type AuthenticationFault = 'no-key' | 'two-keys' | 'unknown-key';

const BEARER = /^Bearer (\S+)$/;

const readKeys = (headers: IncomingHttpHeaders): string[] => {
  const bearer = BEARER.exec(headers.authorization ?? '')?.[1];
  const apiKey = headers['x-api-key'];
  return [bearer, apiKey].flat().filter((key): key is string => typeof key === 'string');
};

/**
 * Finds the customer whose key a request carries. A request with two keys is refused even if both
 * are valid, since it could otherwise run for the wrong customer.
 */
const authenticate = (
  headers: IncomingHttpHeaders,
  settings: EffectiveSettings,
): Result<Caller, AuthenticationFault> => {
  const [key, second] = readKeys(headers);
  if (!key) return Err('no-key' as const);
  if (second) return Err('two-keys' as const);
  const keyDigest = digest(key);
  const keySettings = settings.keysByDigest.get(keyDigest);
  const customer = keySettings && settings.customers.get(keySettings.customer);
  return customer ? Ok({ customer, keyDigest }) : Err('unknown-key' as const);
};

export default authenticate;

import type { Result } from '@cyclamengate/common/outcome';
import HostList from './HostList.js';
import { hostListingSchema } from './hostListing.js';
import type { HostListing } from './hostListing.js';
import newHttpCaller from './newHttpCaller.js';
import type { PlatformFault } from './platformFault.js';

const TIMEOUT_MS = 2_000;

/** Client of the platform's host list over HTTP. */
const newHttpHostList = (url: string): HostList => {
  const caller = newHttpCaller(url, TIMEOUT_MS);

  class HttpHostList extends HostList {
    read(): Promise<Result<HostListing, PlatformFault>> {
      return caller.call('GET', '/hosts', hostListingSchema);
    }
  }
  return new HttpHostList();
};

export default newHttpHostList;

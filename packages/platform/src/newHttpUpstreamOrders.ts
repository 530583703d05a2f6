import type { Result } from '@cyclamengate/common/outcome';
import { z } from 'zod';
import newHttpCaller from './newHttpCaller.js';
import type { PlatformFault } from './platformFault.js';
import type { UpstreamOrder } from './upstreamOrder.js';
import UpstreamOrders from './UpstreamOrders.js';
import { upstreamStatusSchema } from './upstreamStatus.js';
import type { UpstreamStatus } from './upstreamStatus.js';

/** Timeout for the answer to an order. The lease must outlast it when the order is sent. */
export const ORDER_TIMEOUT_MS = 1_500;

const statusesSchema = z.array(upstreamStatusSchema);

/** Client of the platform's order interface over HTTP. */
export const newHttpUpstreamOrders = (url: string): UpstreamOrders => {
  const caller = newHttpCaller(url, ORDER_TIMEOUT_MS);

  class HttpUpstreamOrders extends UpstreamOrders {
    read(failureDomain: string): Promise<Result<UpstreamStatus[], PlatformFault>> {
      return caller.call('GET', `/orders?failureDomain=${failureDomain}`, statusesSchema);
    }

    place(
      order: UpstreamOrder,
      isStillHeld: () => boolean,
    ): Promise<Result<UpstreamStatus[], PlatformFault>> {
      return caller.order('/orders', statusesSchema, order, isStillHeld);
    }
  }
  return new HttpUpstreamOrders();
};

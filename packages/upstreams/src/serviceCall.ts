/** A call to a plain service, stripped of everything that came with the caller's connection. */
export interface ServiceCall {
  requestId: string;
  customer: string;
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  contentType: string;
  body: Buffer | null;
}

/** A plain service's whole answer. */
export interface ServiceAnswer {
  status: number;
  contentType: string;
  body: Buffer;
}

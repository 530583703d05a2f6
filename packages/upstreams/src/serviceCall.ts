/** A call to a plain service, without the headers of the caller's request. */
export interface ServiceCall {
  requestId: string;
  customer: string;
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  contentType: string;
  body: Buffer | null;
}

/** The complete answer of a plain service. */
export interface ServiceAnswer {
  status: number;
  contentType: string;
  body: Buffer;
}

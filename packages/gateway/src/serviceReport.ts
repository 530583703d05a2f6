import { z } from 'zod';

/** An upstream as a host sees it. */
const upstreamReportSchema = z.object({
  id: z.string(),
  failureDomain: z.string(),
  slots: z.int(),
  /** Requests there, from all hosts, by estimate. */
  load: z.number(),
  /** Time that work takes there, relative to its peers. */
  pace: z.number(),
  isBackedOff: z.boolean(),
});

/** Requests of one class that run or wait. */
const classReportSchema = z.object({
  workClass: z.string(),
  running: z.int(),
  waiting: z.int(),
  expectedWaitMs: z.number(),
});

/** Admission to a service on one host. */
const admissionReportSchema = z.object({
  places: z.number(),
  free: z.number(),
  /** Age of the newest load report of an upstream; null if there is none. */
  reportAgeMs: z.number().nullable(),
  running: z.array(z.object({ customer: z.string(), count: z.int(), share: z.number() })),
  waiting: z.array(z.object({ customer: z.string(), priority: z.string(), count: z.int() })),
  classes: z.array(classReportSchema),
});

/** What one host knows of a service: its upstreams, and who runs and waits here. */
export const serviceReportSchema = z.object({
  service: z.string(),
  upstreams: z.array(upstreamReportSchema),
  /** Null while the host has admitted nothing to the service. */
  admission: admissionReportSchema.nullable(),
});

export type ServiceReport = z.infer<typeof serviceReportSchema>;

export type AdmissionReport = z.infer<typeof admissionReportSchema>;

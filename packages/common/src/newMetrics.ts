import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const MAX_LATENCY_MICROSECONDS = 600_000_000;
const PERCENTILES = [50, 90, 99, 99.9];

/** Counters, gauges and latency histograms of one process, exported as Prometheus text. */
const newMetrics = () => {
  const counters = new Map<string, number>();
  const gauges = new Map<string, () => number>();
  const histograms = new Map<string, Histogram>();

  const histogram = (name: string): Histogram => {
    const existing = histograms.get(name);
    if (existing) return existing;
    const created = build({
      bitBucketSize: 'packed',
      highestTrackableValue: MAX_LATENCY_MICROSECONDS,
      numberOfSignificantValueDigits: 2,
    });
    histograms.set(name, created);
    return created;
  };

  const formatHistogram = (name: string, recorded: Histogram): string[] => [
    ...PERCENTILES.map(
      (percentile) =>
        `${name}_microseconds{quantile="${percentile / 100}"} ${recorded.getValueAtPercentile(percentile)}`,
    ),
    `${name}_microseconds_count ${recorded.totalCount}`,
  ];

  return {
    count: (name: string, by = 1): void => {
      counters.set(name, (counters.get(name) ?? 0) + by);
    },
    readCounter: (name: string): number => counters.get(name) ?? 0,
    gauge: (name: string, read: () => number): void => {
      gauges.set(name, read);
    },
    /** @param durationMs the observed duration in milliseconds */
    observe: (name: string, durationMs: number): void => {
      histogram(name).recordValue(
        Math.min(MAX_LATENCY_MICROSECONDS, Math.max(0, Math.round(durationMs * 1000))),
      );
    },
    text: (): string =>
      [
        ...[...counters].map(([name, value]) => `${name} ${value}`),
        ...[...gauges].map(([name, read]) => `${name} ${read()}`),
        ...[...histograms].flatMap(([name, recorded]) => formatHistogram(name, recorded)),
        '',
      ].join('\n'),
  };
};

export type Metrics = ReturnType<typeof newMetrics>;

export default newMetrics;

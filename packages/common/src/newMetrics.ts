import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const HIGHEST_LATENCY_MICROSECONDS = 600_000_000;
const PERCENTILES = [50, 90, 99, 99.9];

/** Counters, gauges and latency histograms of one process, readable as Prometheus text. */
const newMetrics = () => {
  const counters = new Map<string, number>();
  const gauges = new Map<string, () => number>();
  const histograms = new Map<string, Histogram>();

  const histogram = (name: string): Histogram => {
    const known = histograms.get(name);
    if (known) return known;
    const created = build({
      bitBucketSize: 'packed',
      highestTrackableValue: HIGHEST_LATENCY_MICROSECONDS,
      numberOfSignificantValueDigits: 2,
    });
    histograms.set(name, created);
    return created;
  };

  const histogramText = (name: string, recorded: Histogram): string[] => [
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
    counted: (name: string): number => counters.get(name) ?? 0,
    gauge: (name: string, read: () => number): void => {
      gauges.set(name, read);
    },
    /** @param durationMs how long it took, in milliseconds */
    observe: (name: string, durationMs: number): void => {
      histogram(name).recordValue(
        Math.min(HIGHEST_LATENCY_MICROSECONDS, Math.max(0, Math.round(durationMs * 1000))),
      );
    },
    text: (): string =>
      [
        ...[...counters].map(([name, value]) => `${name} ${value}`),
        ...[...gauges].map(([name, read]) => `${name} ${read()}`),
        ...[...histograms].flatMap(([name, recorded]) => histogramText(name, recorded)),
        '',
      ].join('\n'),
  };
};

export type Metrics = ReturnType<typeof newMetrics>;

export default newMetrics;

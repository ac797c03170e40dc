/** Metrics sent over StatsD; counters and gauges are also kept in memory for `ctl status`. */

import { StatsD } from 'hot-shots';

/** Values by the name of their label. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Key of a metric with its labels. */
export function metricKey(name: string, labels: MetricLabels = {}): string {
  const pairs = Object.entries(labels).map(([label, value]) => `${label}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}

/** Counters, gauges and timings by name. */
export interface Metrics {
  /**
   * Increments a counter, by 1 by default. Names that a configuration gives are values of labels,
   * never parts of `name`; a counter has the same labels at each call.
   */
  count(name: string, by?: number, labels?: MetricLabels): void;
  gauge(name: string, value: number): void;
  /** Sends a duration in milliseconds; timings are not kept in `values`. */
  timing(name: string, ms: number): void;
  /** Current values of all counters and gauges since the process started. */
  readonly values: Readonly<Record<string, number>>;
  close(): void;
}

/** Address of the StatsD server. */
export interface MetricsOptions {
  readonly host: string;
  readonly port: number;
}

/** Metrics of one process; sent only if `options` names a StatsD server. */
export class ProcessMetrics implements Metrics {
  readonly #values: Record<string, number> = {};

  readonly #client: StatsD | undefined;

  constructor(role: string, vm: string, options: MetricsOptions | undefined) {
    this.#client = options
      ? new StatsD({
          ...options,
          prefix: `goldcrestdock.${role}.`,
          globalTags: { vm },
          errorHandler: () => {},
        })
      : undefined;
  }

  get values(): Readonly<Record<string, number>> {
    return this.#values;
  }

  count(name: string, by = 1, labels: MetricLabels = {}): void {
    const key = metricKey(name, labels);
    this.#values[key] = (this.#values[key] ?? 0) + by;
    this.#client?.increment(name, by, labels);
  }

  gauge(name: string, value: number): void {
    this.#values[name] = value;
    this.#client?.gauge(name, value);
  }

  timing(name: string, ms: number): void {
    this.#client?.timing(name, ms);
  }

  close(): void {
    this.#client?.close();
  }
}

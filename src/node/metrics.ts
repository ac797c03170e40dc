/** Metrics sent over StatsD; counters and gauges are also kept in memory for `ctl status`. */

import { StatsD } from 'hot-shots';

/** Counters, gauges and timings by name. */
export interface Metrics {
  /** Increments a counter, by 1 by default. */
  count(name: string, by?: number): void;
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

  count(name: string, by = 1): void {
    this.#values[name] = (this.#values[name] ?? 0) + by;
    this.#client?.increment(name, by);
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

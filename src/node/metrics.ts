/** Metrics over StatsD, and the same numbers kept for `ctl status`. */

import { StatsD } from 'hot-shots';

/** Counters and gauges by name. */
export interface Metrics {
  count(name: string, by?: number): void;
  gauge(name: string, value: number): void;
  timing(name: string, ms: number): void;
  /** All counters and gauges since the start. */
  readonly values: Readonly<Record<string, number>>;
  close(): void;
}

/** Where to send. */
export interface MetricsOptions {
  readonly host: string;
  readonly port: number;
}

/** Keeps the numbers and sends them if there is somewhere to send them to. */
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

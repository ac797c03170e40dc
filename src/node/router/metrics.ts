/** Counters, gauges and latency histograms of a router, served as text on the metrics address. */

import type { Server } from 'node:http';
import { createServer } from 'node:http';

import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import { listenOn } from '../../utils/http';
import { SNAPSHOT_PATH } from '../../types/snapshot';
import type { MetricLabels, Metrics } from '../metrics';
import { metricKey } from '../metrics';

/** Bucket bounds of the latency histograms in seconds, from one round trip to the longest deadline. */
const LATENCY_BUCKETS_S: readonly number[] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3, 6, 12];

const HTTP_OK = 200;

function metricName(name: string): string {
  return `goldcrestdock_${name.replace(/\W/g, '_')}`;
}

/** All metrics of one process. */
export class RouterMetrics implements Metrics {
  readonly #registry = new Registry();

  readonly #counters = new Map<string, Counter>();

  readonly #gauges = new Map<string, Gauge>();

  readonly #values: Record<string, number> = {};

  readonly #ended: Counter;

  readonly #ranked: Counter;

  readonly #latency: Histogram;

  #server: Server | undefined;

  constructor() {
    const registers = [this.#registry];
    this.#ended = new Counter({
      name: metricName('requests_total'),
      help: 'Requests by service, status sent and code of the router where the answer is its own.',
      labelNames: ['service', 'status', 'code'],
      registers,
    });
    this.#ranked = new Counter({
      name: metricName('ranked_requests_total'),
      help: 'Requests to services with several priorities, by service, rank and outcome.',
      labelNames: ['service', 'rank', 'outcome'],
      registers,
    });
    this.#latency = new Histogram({
      name: metricName('request_seconds'),
      help: 'Time from the whole request to the end of its answer, by service.',
      labelNames: ['service'],
      buckets: [...LATENCY_BUCKETS_S],
      registers,
    });
  }

  /** Current values of counters and gauges by name. */
  get values(): Readonly<Record<string, number>> {
    return this.#values;
  }

  /** Records a request whose final answer was sent; `ms` is its latency. */
  recordRequest(service: string, status: number, code: string | undefined, ms: number): void {
    this.#ended.inc({ service, status: String(status), code: code ?? '' });
    this.#latency.observe({ service }, ms / 1000);
  }

  /** Records the outcome of a request to a service whose routes have different priorities. */
  recordRank(service: string, rank: number, outcome: 'inTime' | 'late' | 'failed'): void {
    this.#ranked.inc({ service, rank: String(rank), outcome });
  }

  /** Increments a counter, which is created with its labels on first use. */
  count(name: string, by = 1, labels: MetricLabels = {}): void {
    const key = metricKey(name, labels);
    this.#values[key] = (this.#values[key] ?? 0) + by;
    let counter = this.#counters.get(name);
    if (!counter) {
      const labelNames = Object.keys(labels);
      const registers = [this.#registry];
      counter = new Counter({
        name: metricName(`${name}_total`),
        help: name,
        labelNames,
        registers,
      });
      this.#counters.set(name, counter);
    }
    counter.inc({ ...labels }, by);
  }

  /** Sets a gauge, which is created on first use. */
  gauge(name: string, value: number): void {
    this.#values[name] = value;
    let gauge = this.#gauges.get(name);
    if (!gauge) {
      gauge = new Gauge({ name: metricName(name), help: name, registers: [this.#registry] });
      this.#gauges.set(name, gauge);
    }
    gauge.set(value);
  }

  /** Adds a duration to the counter `<name>_ms`. */
  timing(name: string, ms: number): void {
    this.count(`${name}_ms`, ms);
  }

  /** All metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Serves the state snapshot for operators on one path of an address, and the metrics on all others. */
  listen(address: string, snapshot: () => unknown): Promise<void> {
    const server = createServer((req, res) => {
      if (req.url === SNAPSHOT_PATH) {
        const body = JSON.stringify(snapshot());
        res.writeHead(HTTP_OK, { 'content-type': 'application/json' }).end(body);
        return;
      }
      this.text()
        .then((text) => {
          res.writeHead(HTTP_OK, { 'content-type': this.#registry.contentType }).end(text);
        })
        .catch(() => res.destroy());
    });
    this.#server = server;
    return listenOn(server, address);
  }

  /** Stops listening. */
  close(): void {
    this.#server?.close();
  }
}

/** Counters and latency histograms of a router, served as text on the metrics address. */

import type { Server } from 'node:http';
import { createServer } from 'node:http';

import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import { listenOn } from '../../utils/http';
import { SNAPSHOT_PATH } from '../../types/snapshot';
import type { Metrics } from '../metrics';

/** Bounds of the latency histograms in seconds: from one round trip to the longest deadline. */
const LATENCY_BUCKETS: readonly number[] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3, 6, 12];

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
    this.#latency = new Histogram({
      name: metricName('request_seconds'),
      help: 'Time from the whole request to the end of its answer, by service.',
      labelNames: ['service'],
      buckets: [...LATENCY_BUCKETS],
      registers,
    });
  }

  get values(): Readonly<Record<string, number>> {
    return this.#values;
  }

  /** Notes a request that has its final answer. */
  recordRequest(service: string, status: number, code: string | undefined, ms: number): void {
    this.#ended.inc({ service, status: String(status), code: code ?? '' });
    this.#latency.observe({ service }, ms / 1000);
  }

  count(name: string, by = 1): void {
    this.#values[name] = (this.#values[name] ?? 0) + by;
    let counter = this.#counters.get(name);
    if (!counter) {
      const registers = [this.#registry];
      counter = new Counter({ name: metricName(`${name}_total`), help: name, registers });
      this.#counters.set(name, counter);
    }
    counter.inc(by);
  }

  gauge(name: string, value: number): void {
    this.#values[name] = value;
    let gauge = this.#gauges.get(name);
    if (!gauge) {
      gauge = new Gauge({ name: metricName(name), help: name, registers: [this.#registry] });
      this.#gauges.set(name, gauge);
    }
    gauge.set(value);
  }

  timing(name: string, ms: number): void {
    this.count(`${name}_ms`, ms);
  }

  text(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Serves on an address: what the VM believes on one path, the metrics' text on all others. */
  listen(address: string, beliefs: () => unknown): Promise<void> {
    const server = createServer((req, res) => {
      if (req.url === SNAPSHOT_PATH) {
        const body = JSON.stringify(beliefs());
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

  close(): void {
    this.#server?.close();
  }
}

import { Writable } from 'node:stream';

import pino from 'pino';

import { RouterMetrics } from '../../src/node/router/metrics';
import { Runs } from '../../src/node/router/runs';
import { exchangeInto, promptRequest } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import {
  authorizerOf,
  crashedChecks,
  directPaths,
  endsOf,
  noticesOf,
  openStateOf,
  quarantineOf,
  rateLimitsOf,
  retriesOf,
  screeningOf,
} from '../fakes/runs';

/** Runs and the log lines that they write. */
class LoggedRuns {
  readonly lines: Record<string, unknown>[] = [];

  readonly metrics = new RouterMetrics();

  readonly runs: Runs;

  constructor() {
    const sink = new Writable({
      write: (chunk: Buffer, _encoding, done) => {
        const { level, time, pid, hostname, ...line } = JSON.parse(chunk.toString());
        this.lines.push(line as Record<string, unknown>);
        done();
      },
    });
    const quarantine = quarantineOf();
    this.runs = new Runs({
      routingState: openStateOf(),
      paths: directPaths,
      quarantine,
      screening: screeningOf(quarantine),
      checks: crashedChecks,
      ends: endsOf(crashedChecks),
      authorizer: authorizerOf(),
      retries: retriesOf(),
      rateLimits: rateLimitsOf(),
      notices: noticesOf(),
      metrics: this.metrics,
      log: pino(sink),
    });
  }
}

describe('an interrupted run', () => {
  /*
   * Runners crash one after the other and the on-call engineer looks for the request that each of
   * them had. The request id differs between the attempts of a caller, so the log line has their
   * common fingerprint and how long each had run.
   */
  test('is logged with the fingerprint that all attempts of its request share', () => {
    const { runs, lines, metrics } = new LoggedRuns();
    const body = Buffer.from('the same prompt');
    for (const id of ['first', 'second']) {
      const exchange = exchangeInto([], { ...promptRequest, id, body });
      const run = runs.begin(1000, exchange, runnerOf('d1', 'decode'));
      if (id === 'second') run.answered(1200);
      run.interrupted(1300.4);
      exchange.end();
    }
    expect(lines).toMatchInlineSnapshot(`
     [
       {
         "ends": 1,
         "fingerprint": "W2oDcAc2mx1xBhOB",
         "msg": "A run was interrupted.",
         "request": "first",
         "role": "decode",
         "runner": "d1",
         "sentMs": 300,
         "service": "s",
         "version": "v1",
       },
       {
         "answeredMs": 100,
         "ends": 1,
         "fingerprint": "W2oDcAc2mx1xBhOB",
         "msg": "A run was interrupted.",
         "request": "second",
         "role": "decode",
         "runner": "d1",
         "sentMs": 300,
         "service": "s",
         "version": "v1",
       },
     ]
    `);
    expect(metrics.values).toEqual({ 'runs.broken': 2 });
  });

  test('has another fingerprint where host, method, target or body differ', () => {
    const changes = [{}, { host: 'H' }, { host: 'i' }, { method: 'PUT' }, { target: '/?a' }];
    const bodies = [...changes, { body: Buffer.from('b') }];
    const fingerprints = bodies.map((change) => {
      const exchange = exchangeInto([], { ...promptRequest, ...change });
      exchange.end();
      return exchange.fingerprint;
    });
    expect(new Set(fingerprints).size).toBe(5);
    expect(fingerprints[1]).toBe(fingerprints[0]);
  });

  /* The caller disconnected, and its connections to runners are closed for that: no runner failed. */
  test('is not logged if the caller disconnected', () => {
    const { runs, lines } = new LoggedRuns();
    const exchange = exchangeInto([]);
    const run = runs.begin(0, exchange, runnerOf('d1', 'decode'));
    exchange.end();
    run.interrupted(100);
    expect(lines).toEqual([]);
  });
});

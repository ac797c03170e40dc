import { Writable } from 'node:stream';

import pino from 'pino';

import { RouterMetrics } from '../../src/node/router/metrics';
import { Runs } from '../../src/node/router/runs';
import { exchangeInto, promptRequest } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import { gateOf, quarantineOf, rateLimitsOf } from '../fakes/runs';

/** Runs and the lines that they log. */
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
    this.runs = new Runs({
      quarantine: quarantineOf(),
      authorizer: gateOf(),
      rateLimits: rateLimitsOf(),
      metrics: this.metrics,
      log: pino(sink),
    });
  }
}

describe('a run that its runner broke off', () => {
  /*
   * Runners end one after the other and the on-call engineer asks which request each
   * of them had. The id is another one in each attempt of a caller; what the attempts
   * have in common is in the line, and for how long each had run.
   */
  test('is logged under what all attempts of its request have in common', () => {
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
         "msg": "A run broke off.",
         "request": "first",
         "role": "decode",
         "runner": "d1",
         "sentMs": 300,
         "service": "s",
       },
       {
         "answeredMs": 100,
         "ends": 1,
         "fingerprint": "W2oDcAc2mx1xBhOB",
         "msg": "A run broke off.",
         "request": "second",
         "role": "decode",
         "runner": "d1",
         "sentMs": 300,
         "service": "s",
       },
     ]
    `);
    expect(metrics.values).toEqual({ 'runs.broken': 2 });
  });

  test('has another fingerprint where host, method, target or body differ', () => {
    const changes = [{}, { host: 'H' }, { host: 'i' }, { method: 'PUT' }, { target: '/?a' }];
    const bodies = [...changes, { body: Buffer.from('b') }];
    const prints = bodies.map((change) => {
      const exchange = exchangeInto([], { ...promptRequest, ...change });
      exchange.end();
      return exchange.fingerprint;
    });
    expect(new Set(prints).size).toBe(5);
    expect(prints[1]).toBe(prints[0]);
  });

  /* The caller left, and its connections to runners are closed for that: no runner broke off. */
  test('is none if the caller left', () => {
    const { runs, lines } = new LoggedRuns();
    const exchange = exchangeInto([]);
    const run = runs.begin(0, exchange, runnerOf('d1', 'decode'));
    exchange.end();
    run.interrupted(100);
    expect(lines).toEqual([]);
  });
});

/** Serves the requests of callers by the handler of their kind of service. */

import type { Logger } from 'pino';

import { RunnerHealth } from '../../core/cell/health';
import type { Engine } from '../../core/routing/types';
import { LazyMap } from '../../utils/lazymap';
import { logOf } from '../log';
import type { Metrics } from '../metrics';
import type { Authorizer } from './authorizer';
import type { Controllers } from './controllers';
import { AnswerEnds } from './answerends';
import type { Exchange } from './exchange';
import type { RouterFleet } from './fleet';
import { ModelHandler } from './model';
import { PlainHandler } from './plain';
import { RetryController } from './retries';
import type { RoutingState } from './routingstate';
import { RunnerChecks } from './runnerchecks';
import { Runs } from './runs';
import { LONG_WAIT, Screening } from './screening';
import type { RouterSettings, RunnerClient, RunnerPaths } from './types';

/** Dependencies of the handlers. */
export interface HandlersContext {
  /** The settings in force. */
  readonly settings: () => Pick<RouterSettings, 'retries' | 'domain' | 'isFirstStart'>;
  readonly routingState: RoutingState;
  readonly paths: RunnerPaths;
  readonly runners: RunnerClient;
  readonly authorizer: Authorizer;
  readonly controllers: Controllers;
  readonly fleet: Pick<RouterFleet, 'census' | 'call'>;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** The handlers of one VM, with what they keep for each service. */
export class Handlers {
  readonly #context: HandlersContext;

  readonly #retries: RetryController;

  readonly #health = new LazyMap<string, RunnerHealth>(() => new RunnerHealth());

  readonly #runs: Runs;

  readonly #plain: PlainHandler;

  readonly #model: ModelHandler;

  /** Requests that are not answered yet. */
  readonly #open = new Set<Exchange>();

  constructor(context: HandlersContext) {
    this.#context = context;
    const { settings, routingState, paths, runners, authorizer, controllers, fleet } = context;
    const { quarantine, trials, rateLimits, notices, permits, quotas, places, origins, loads } =
      controllers;
    const start = { at: performance.now(), isFirst: settings().isFirstStart };
    this.#retries = new RetryController(start, {
      bounds: () => settings().retries,
      census: fleet.census,
      metrics: context.metrics,
      log: logOf(context.log, 'retries'),
    });
    const checks = new RunnerChecks(runners);
    const runnerLog = logOf(context.log, 'runner');
    this.#runs = new Runs({
      routingState,
      paths,
      quarantine,
      screening: new Screening({ quarantine, routingState, trials }),
      checks,
      ends: new AnswerEnds({
        routingState,
        fleet,
        checks,
        metrics: context.metrics,
        log: runnerLog,
      }),
      authorizer,
      retries: this.#retries,
      rateLimits,
      notices,
      metrics: context.metrics,
      log: runnerLog,
    });
    const shared = {
      routingState,
      paths,
      runners,
      runs: this.#runs,
      quotas,
      permits,
      loads,
      origins,
      retries: this.#retries,
    };
    this.#plain = new PlainHandler({
      ...shared,
      metrics: context.metrics,
      health: (service) => this.#health.get(service),
      domain: settings().domain,
    });
    this.#model = new ModelHandler({ ...shared, reservations: places });
  }

  /** The requests in progress, oldest first. */
  get open(): readonly Exchange[] {
    return [...this.#open];
  }

  /** Serves one request to its end. */
  async serve(exchange: Exchange): Promise<void> {
    this.#open.add(exchange);
    try {
      await this.#admitAndRun(exchange);
    } finally {
      this.#open.delete(exchange);
    }
  }

  async #admitAndRun(exchange: Exchange): Promise<void> {
    const { controllers, routingState } = this.#context;
    // The configuration may drop the service while the request waits for its admission.
    const { table } = routingState;
    const refusal =
      (await controllers.origins.pin(exchange)) ?? (await this.#runs.admit(exchange, LONG_WAIT));
    const now = performance.now();
    this.#retries.requested(now, exchange);
    if (refusal) {
      exchange.trail.push(refusal.codeName);
      exchange.fail(now, refusal);
      return;
    }
    try {
      await this.#run(exchange, table?.service(exchange.service)?.engine);
    } finally {
      this.#retries.settle(exchange);
      controllers.quotas.settle(exchange);
    }
  }

  /** Ends the wait of requests that must not be sent any more. */
  recheckWaiting(now: number): void {
    for (const exchange of this.#open) {
      const refusal = this.#runs.refusal(now, exchange);
      if (refusal?.codeName === 'quarantined') exchange.refuse(refusal);
    }
  }

  #run(exchange: Exchange, engine: Engine | undefined): Promise<void> {
    return engine ? this.#model.run(exchange, engine) : this.#plain.run(exchange);
  }
}

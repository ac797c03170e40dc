/** Creates the executions of a model request on runners. */

import { runIdOf } from '../../core/ids';
import type { Execution, ModelRequest, RunContext } from './request';
import { IdleTimeout } from './timeout';

/** The executions of one request. */
export class Executions {
  readonly #request: ModelRequest;

  readonly #fleet: RunContext['fleet'];

  readonly #signal: AbortSignal;

  #attempt = 0;

  /** @param signal aborts all executions */
  constructor(request: ModelRequest, fleet: RunContext['fleet'], signal: AbortSignal) {
    this.#request = request;
    this.#fleet = fleet;
    this.#signal = signal;
  }

  /** The next execution; undefined if the settings lack the runner. */
  next(runner: string): Execution | undefined {
    const execution = this.of(runner, runIdOf(this.#request.id, this.#attempt + 1));
    if (execution) this.#attempt += 1;
    return execution;
  }

  /** The execution of a run that a runner already has; undefined if the settings lack the runner. */
  of(runner: string, runId: string): Execution | undefined {
    const pool = this.#fleet.settings.pool(this.#request.service.pool);
    const url = pool?.runners.find(({ id }) => id === runner)?.url;
    if (url === undefined) return undefined;
    return { runner, url, runId, idleTimeout: new IdleTimeout(this.#signal) };
  }
}

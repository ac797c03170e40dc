/** Waits of plain requests for runners that are silent for a moment, where no other runner takes them. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Runner } from '../../core/routing/types';
import { mayContinue } from '../../core/routing/types';
import type { Metrics } from '../metrics';
import type { Exchange } from './exchange';
import type { RoutingState } from './routingstate';
import type { RunnerPaths } from './types';

/** Dependencies of the waits. */
export interface PlainReturnsContext {
  readonly routingState: Pick<RoutingState, 'openRunnersOf'>;
  readonly paths: Pick<RunnerPaths, 'pathTo' | 'isCutOff' | 'mayGoOn'>;
  readonly metrics: Metrics;
}

/** Time between two looks at the paths, in milliseconds; they send nothing. */
const LOOK_MS = 25;

/** Waits until runners are back. */
export class PlainReturns {
  readonly #context: PlainReturnsContext;

  constructor(context: PlainReturnsContext) {
    this.#context = context;
  }

  /**
   * Waits while a runner that a request was not sent to may go on. Resolves to whether one is
   * reached again.
   * @param sentTo ids of the runners that received the request
   */
  async wait(exchange: Exchange, sentTo: ReadonlySet<string>): Promise<boolean> {
    const { metrics } = this.#context;
    const awaited = this.#awaited(performance.now(), exchange, sentTo);
    if (awaited.length === 0) return false;
    metrics.count('plain.awaited', 1, { service: exchange.service });
    const { waitSignal: signal } = exchange;
    while (!signal.aborted) {
      if (awaited.some((one) => this.#isBack(one))) return true;
      if (this.#awaited(performance.now(), exchange, sentTo).length === 0) return false;
      await pause(LOOK_MS, undefined, { signal }).catch(() => undefined);
    }
    return false;
  }

  #isBack(runner: Runner): boolean {
    const { paths } = this.#context;
    const path = paths.pathTo(runner);
    return path === 'direct' || (path === 'tunnel' && paths.isCutOff(runner));
  }

  #awaited(
    now: number,
    { service, version }: Exchange,
    sentTo: ReadonlySet<string>,
  ): readonly Runner[] {
    const { routingState, paths } = this.#context;
    return routingState
      .openRunnersOf(now, service)
      .filter((one) => !sentTo.has(one.id) && mayContinue(one, version) && paths.mayGoOn(now, one));
  }
}

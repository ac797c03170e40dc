/** When the stalled connection of a decode run may be given up. */

import type { Runner } from '../../core/routing/types';
import { mayContinue } from '../../core/routing/types';
import type { Exchange } from './exchange';
import type { Progress } from './progress';
import { canResume } from './progress';
import type { ReplacementContext } from './replacement';
import { Replacement } from './replacement';
import type { RoutingState } from './routingstate';
import type { Abandonment, RunnerPaths } from './types';

/** Dependencies of the decision. */
export interface StreamAbandonmentContext extends ReplacementContext {
  readonly routingState: Pick<RoutingState, 'openRunnersOf'>;
  readonly paths: Pick<RunnerPaths, 'isCutOff' | 'reaches'>;
}

/**
 * A stream whose events have begun goes on elsewhere only if this VM is cut off from a runner that
 * others reach: whether a runner has stopped is found out by the watch of its stream.
 */
export function abandonmentOf(
  context: StreamAbandonmentContext,
  exchange: Exchange,
  progress: Progress,
  runner: Runner,
): Abandonment | undefined {
  if (!exchange.route.resumable) return undefined;
  const { routingState, paths } = context;
  const isOpen = (): boolean => progress.stream.events === 0 || paths.isCutOff(runner);
  const hasOther = (now: number): boolean =>
    routingState
      .openRunnersOf(now, exchange.service, 'decode')
      .some(
        (one) => one.id !== runner.id && paths.reaches(one) && mayContinue(one, exchange.version),
      );
  const replacement = new Replacement(
    context,
    exchange,
    (now) => isOpen() && canResume(exchange, progress) && hasOther(now),
  );
  return () => replacement.isCertain(performance.now());
}

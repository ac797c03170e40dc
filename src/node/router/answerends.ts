/** Decides whether answers that end with their connections are complete; see `docs/design/answer-ends.md`. */

import type { Logger } from 'pino';
import { z } from 'zod';

import { toFailure } from '../../core/failure';
import type { Runner } from '../../core/routing/types';
import type { TunnelBytes } from '../../core/stream/ending';
import { isWholeByClose } from '../../core/stream/ending';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import type { RouterFleet } from './fleet';
import type { RoutingState } from './routingstate';
import type { RunnerChecks } from './runnerchecks';
import type { Reply } from './types';

/** Dependencies of the decision. */
export interface AnswerEndContext {
  readonly routingState: Pick<RoutingState, 'accepts'>;
  readonly fleet: Pick<RouterFleet, 'call'>;
  readonly checks: Pick<RunnerChecks, 'isRunning'>;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** The part of an answer by which its end is judged. */
export type EndedReply = Pick<Reply, 'framing' | 'via' | 'tunnel'>;

/** Time that a VM has to tell how a tunnel ended, in milliseconds: many round trips, as its process may be busy. */
const ASK_TIMEOUT_MS = 500;
/** Log lines about answers that are not complete, per second. */
const LINES_PER_S = 10;

/** Bytes that the runner sent; null if it did not close the connection. */
const endSchema = z.number().nullable();

/** The ends of answers at one VM. */
export class AnswerEnds {
  readonly #context: AnswerEndContext;

  readonly #lines: LogRateLimiter;

  constructor(context: AnswerEndContext) {
    this.#context = context;
    this.#lines = new LogRateLimiter(LINES_PER_S, (lines) =>
      context.log.info({ lines }, 'More answers ended with their connections too early.'),
    );
  }

  /**
   * Whether an answer is complete whose body has arrived without an error. Its length or its last
   * chunk shows that, where it has one; otherwise each process on the way has to.
   * @param request id of the request, for the log
   */
  async isWhole(request: string, reply: EndedReply, runner: Runner): Promise<boolean> {
    if (reply.framing !== 'close') return true;
    const { routingState, checks, metrics, log } = this.#context;
    const [tunnel, isRunning] = await Promise.all([
      this.#tunnelBytes(reply),
      // A runner that leaves or asked for a pause wants no calls.
      checks.isRunning(runner, routingState.accepts(performance.now(), runner)),
    ]);
    if (isWholeByClose({ tunnel, isRunning })) return true;
    metrics.count('answers.cut');
    if (this.#lines.tryAcquire(performance.now())) {
      const fields = { request, runner: runner.id, via: reply.via, tunnel, isRunning };
      log.info(fields, 'An answer ended with its connection too early.');
    }
    return false;
  }

  /** Undefined if the connection was direct. */
  async #tunnelBytes({ via, tunnel }: EndedReply): Promise<TunnelBytes | undefined> {
    if (via === undefined) return undefined;
    const arrived = tunnel?.arrivedBytes() ?? 0;
    const { fleet, log } = this.#context;
    try {
      const end = await fleet.call(via, 'tunnelEnd', { id: tunnel?.id }, ASK_TIMEOUT_MS);
      return { arrived, sent: endSchema.parse(end) ?? undefined };
    } catch (error) {
      log.debug({ via }, toFailure(error).line);
      return { arrived, sent: undefined };
    }
  }
}

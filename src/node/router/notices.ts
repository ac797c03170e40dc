/** Applies to the routing state what runners announce about themselves in their answers. */

import type { Logger } from 'pino';

import { Failure } from '../../core/failure';
import type { Runner } from '../../core/routing/types';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import type { RoutingState } from './routingstate';
import type { Reply } from './types';

/** Dependencies of the notice controller. */
export interface NoticeContext {
  readonly routingState: Pick<
    RoutingState,
    'learnLeaving' | 'learnBackoff' | 'backoffs' | 'runners'
  >;
  /** Called with a runner that asked this VM for a pause, and the time left of it in milliseconds. */
  readonly onBackoff: (runner: Runner, ms: number) => void;
  /** Called with the VM that forwarded a request whose runner asked for a pause, and its length in milliseconds. */
  readonly onForwardedBackoff: (via: string, runner: Runner, ms: number) => void;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Source of what this VM read in an answer of a runner. */
const ANSWER = 'answer';
/** Log lines about announcements per second. */
const NOTICE_LINES_PER_S = 10;
/** Log lines about unreadable announcements per second. */
const UNREADABLE_LINES_PER_S = 2;

/** Announcements of runners that one VM gets. */
export class NoticeController {
  readonly #context: NoticeContext;

  readonly #lines: LogRateLimiter;

  readonly #unreadableLines: LogRateLimiter;

  constructor(context: NoticeContext) {
    this.#context = context;
    const { log } = context;
    this.#lines = new LogRateLimiter(NOTICE_LINES_PER_S, (lines) =>
      log.info({ lines }, 'More runners announced that they leave or need a pause.'),
    );
    this.#unreadableLines = new LogRateLimiter(UNREADABLE_LINES_PER_S, (lines) =>
      log.warn({ lines }, 'More announcements of runners were unreadable.'),
    );
  }

  /** Counts a request that is sent to a runner. */
  sent(now: number, { id }: Runner): void {
    this.#context.routingState.backoffs.sent(now, id);
  }

  /** Reads the announcements in the head of a runner's answer to a request sent at `sentAt`. */
  replied(now: number, runner: Runner, sentAt: number, reply: Reply): void {
    const { leaving, backoffMs, unreadable } = reply.notice;
    for (const text of unreadable) this.#reportUnreadable(now, runner, text);
    if (!isOwnAnswer(runner, reply)) return;
    const { routingState, onBackoff, onForwardedBackoff, metrics, log } = this.#context;
    if (leaving) {
      metrics.count('runners.leaving');
      routingState.learnLeaving(now, runner, ANSWER);
    }
    if (backoffMs === undefined) routingState.backoffs.accepted(sentAt, runner.id);
    else {
      metrics.count('runners.backoffs');
      onBackoff(runner, routingState.learnBackoff(now, runner, backoffMs));
      // The runner sees the VM that forwards as the sender.
      if (reply.via !== undefined) onForwardedBackoff(reply.via, runner, backoffMs);
    }
    if ((!leaving && backoffMs === undefined) || !this.#lines.tryAcquire(now)) return;
    const { id, service, role } = runner;
    log.info(
      { runner: id, service, role, status: reply.status, leaving, backoffMs },
      'A runner announced that it leaves or needs a pause.',
    );
  }

  /** Applies a pause that a runner asked for in its answer to a request that this VM forwarded. */
  onForwarded(now: number, id: string, backoffMs: number): void {
    const { routingState, onBackoff } = this.#context;
    const runner = routingState.runners(now).find((one) => one.id === id);
    if (runner) onBackoff(runner, routingState.learnBackoff(now, runner, backoffMs));
  }

  #reportUnreadable(now: number, { id: runner, service }: Runner, text: string): void {
    this.#context.metrics.count('runners.unreadable');
    if (!this.#unreadableLines.tryAcquire(now)) return;
    const detail = `found ${JSON.stringify(text)} in an answer, expected a flag or a time`;
    this.#context.log.warn({ runner, service }, new Failure('factUnreadable', detail).line);
  }
}

/**
 * Whether an answer is that of the runner that was meant: it is signed, or it rejects the request
 * by a header that only runners set. Answers to prefills are not passed on to callers and need no
 * signature.
 */
function isOwnAnswer({ role }: Runner, { genuine, notRun, misdirected }: Reply): boolean {
  return !misdirected && (genuine || notRun || role === 'prefill');
}

/** The routing state of one VM with its runs and the announcements of runners, for tests of request handling. */

import pino from 'pino';

import type { RunnerRecord } from '../../src/core/routing/directory';
import { StoreHistory } from '../../src/core/routing/position';
import type { Runner } from '../../src/core/routing/types';
import { RouterMetrics } from '../../src/node/router/metrics';
import { NoticeController } from '../../src/node/router/notices';
import type { StateChange } from '../../src/node/router/routingstatelistener';
import { RoutingState } from '../../src/node/router/routingstate';
import { Runs } from '../../src/node/router/runs';
import type { Reply } from '../../src/node/router/types';
import { positionAt } from './position';
import {
  authorizerOf,
  directPaths,
  quarantineOf,
  rateLimitsOf,
  retriesOf,
  endsOf,
  runningChecks,
  screeningOf,
} from './runs';

const log = pino({ level: 'silent' });

/** A VM that knows some runners by the store. */
export class VmState {
  /** Changes of runners that it announced to other VMs. */
  readonly announced: RunnerRecord[] = [];

  readonly state: RoutingState;

  readonly notices: NoticeController;

  readonly runs: Runs;

  /** Pauses that it tells VMs that forwarded its requests. */
  readonly forwardedBackoffs: unknown[] = [];

  /** @param retries the retry budgets. Default: they are not exhausted */
  constructor(runners: readonly Runner[], retries = retriesOf()) {
    const metrics = new RouterMetrics();
    this.state = new RoutingState(new StoreHistory(), log, {
      onChange: (change: StateChange) => {
        if (change.kind === 'runners') this.announced.push(...change.facts);
      },
      onInvalidEntry: () => {},
    });
    this.notices = new NoticeController({
      routingState: this.state,
      onBackoff: () => {},
      onForwardedBackoff: (via, { id }, ms) => this.forwardedBackoffs.push({ via, id, ms }),
      metrics,
      log,
    });
    const quarantine = quarantineOf();
    this.runs = new Runs({
      routingState: this.state,
      paths: directPaths,
      quarantine,
      screening: screeningOf(quarantine),
      checks: runningChecks,
      ends: endsOf(runningChecks, this.state),
      authorizer: authorizerOf(),
      retries,
      rateLimits: rateLimitsOf(),
      notices: this.notices,
      metrics,
      log,
    });
    runners.forEach((runner, index) => this.list(runner, index + 1));
    this.announced.length = 0;
  }

  /** Applies an entry of the store. */
  list(runner: Runner, revision: number, now = 0): void {
    const record = { id: runner.listing, position: positionAt(revision), runner };
    this.state.learnRunners(now, [record], 'store');
  }

  /** Applies the announcement in the answer of a runner to a request that was sent just before. */
  answered(runner: Runner, reply: Reply): void {
    const now = performance.now();
    this.notices.replied(now, runner, now, reply);
  }
}

/** Quarantine and runs as tests need them. */

import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import { Authorizer } from '../../src/node/router/authorizer';
import { RoutingState } from '../../src/node/router/routingstate';
import { RouterMetrics } from '../../src/node/router/metrics';
import type { BalancerContext } from '../../src/node/router/plainbalancer';
import type { QuarantineContext } from '../../src/node/router/quarantine';
import { QuarantineController } from '../../src/node/router/quarantine';
import type { QuotaController } from '../../src/node/router/quotas';
import { RateLimitController } from '../../src/node/router/ratelimits';
import { Runs } from '../../src/node/router/runs';
import { noopListener } from './listener';

const log = pino({ level: 'silent' });

/** A quarantine that tells nobody, with parts changed. */
export function quarantineOf(change: Partial<QuarantineContext> = {}): QuarantineController {
  return new QuarantineController({
    archive: { save: async () => {} },
    readsStore: () => false,
    metrics: new RouterMetrics(),
    log,
    onChanges: () => {},
    onRefusedChange: () => {},
    ...change,
  });
}

/** Quotas of customers who may use any amount. */
export const unlimitedQuotas: Pick<QuotaController, 'cover'> = { cover: async () => undefined };

function newKnowledge(): RoutingState {
  return new RoutingState(new StoreHistory(), log, noopListener);
}

/** Permits of a VM that knows no rate limit. */
export const unlimitedPermits: BalancerContext['permits'] = {
  isLimited: () => false,
  mayTake: () => true,
  isTrialDue: () => false,
  askTrial: async () => false,
  ask: async (_service, [runner = '']) => ({ granted: true, runner, waitMs: 0 }),
};

/** A gate of a VM that goes by what it knows, however old that is. */
export function authorizerOf(knowledge = newKnowledge()): Authorizer {
  return new Authorizer(knowledge, () => ({ keyMs: Infinity, finalMs: Infinity }));
}

/** Rate limits of a VM, by default one that knows no runner. */
export function rateLimitsOf(knowledge = newKnowledge()): RateLimitController {
  return new RateLimitController({
    knowledge,
    metrics: new RouterMetrics(),
    log,
    onChanges: () => {},
  });
}

/** Runs of which nobody takes notice. */
export function runsOf(quarantine = quarantineOf()): Runs {
  const rateLimits = rateLimitsOf();
  return new Runs({
    quarantine,
    authorizer: authorizerOf(),
    rateLimits,
    metrics: new RouterMetrics(),
    log,
  });
}

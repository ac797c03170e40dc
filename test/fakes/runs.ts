/** Quarantine and runs as tests need them. */

import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import { Authorizer } from '../../src/node/router/authorizer';
import { Knowledge } from '../../src/node/router/knowledge';
import { RouterMetrics } from '../../src/node/router/metrics';
import type { BalancerContext } from '../../src/node/router/plainbalancer';
import type { QuarantineContext } from '../../src/node/router/quarantine';
import { QuarantineDesk } from '../../src/node/router/quarantine';
import type { QuotaDesk } from '../../src/node/router/quotas';
import { RateLimitDesk } from '../../src/node/router/ratelimits';
import { Runs } from '../../src/node/router/runs';
import { silentListener } from './listener';

const log = pino({ level: 'silent' });

/** A quarantine that tells nobody, with parts changed. */
export function quarantineOf(change: Partial<QuarantineContext> = {}): QuarantineDesk {
  return new QuarantineDesk({
    archive: { save: async () => {} },
    readsStore: () => false,
    metrics: new RouterMetrics(),
    log,
    onNews: () => {},
    onRefused: () => {},
    ...change,
  });
}

/** Quotas of customers who may use any amount. */
export const noQuotas: Pick<QuotaDesk, 'cover'> = { cover: async () => undefined };

function newKnowledge(): Knowledge {
  return new Knowledge(new StoreHistory(), log, silentListener);
}

/** Permits of a VM that knows no rate limit. */
export const noPermits: BalancerContext['permits'] = {
  isLimited: () => false,
  mayTake: () => true,
  isTrialDue: () => false,
  askTrial: async () => false,
  ask: async (_service, [runner = '']) => ({ granted: true, runner, waitMs: 0 }),
};

/** A gate of a VM that goes by what it knows, however old that is. */
export function gateOf(knowledge = newKnowledge()): Authorizer {
  return new Authorizer(knowledge, () => ({ keyMs: Infinity, finalMs: Infinity }));
}

/** Rate limits of a VM, by default one that knows no runner. */
export function rateLimitsOf(knowledge = newKnowledge()): RateLimitDesk {
  return new RateLimitDesk({
    knowledge,
    metrics: new RouterMetrics(),
    log,
    onNews: () => {},
  });
}

/** Runs of which nobody takes notice. */
export function runsOf(quarantine = quarantineOf()): Runs {
  const rateLimits = rateLimitsOf();
  return new Runs({
    quarantine,
    authorizer: gateOf(),
    rateLimits,
    metrics: new RouterMetrics(),
    log,
  });
}

/** Quarantine and runs as tests need them. */

import pino from 'pino';

import { RouterMetrics } from '../../src/node/router/metrics';
import type { QuarantineContext } from '../../src/node/router/quarantine';
import { QuarantineDesk } from '../../src/node/router/quarantine';
import { Runs } from '../../src/node/router/runs';

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

/** Runs of which nobody takes notice. */
export function runsOf(quarantine = quarantineOf()): Runs {
  return new Runs({ quarantine, metrics: new RouterMetrics(), log });
}

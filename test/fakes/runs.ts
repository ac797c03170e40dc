/** Runs of which nobody takes notice. */

import pino from 'pino';

import { RouterMetrics } from '../../src/node/router/metrics';
import { Runs } from '../../src/node/router/runs';

export function silentRuns(): Runs {
  return new Runs({ metrics: new RouterMetrics(), log: pino({ level: 'silent' }) });
}

import pino from 'pino';

import type { Framing } from '../../src/core/stream/answer';
import { AnswerStream } from '../../src/core/stream/answer';
import { AnswerEnds } from '../../src/node/router/answerends';
import { RouterMetrics } from '../../src/node/router/metrics';
import { Relay } from '../../src/node/router/relay';
import { Runs } from '../../src/node/router/runs';
import { exchangeInto, replyOf, streamEngine } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import type { StateChecks } from '../fakes/runs';
import {
  authorizerOf,
  directPaths,
  noticesOf,
  openStateOf,
  quarantineOf,
  rateLimitsOf,
  retriesOf,
  screeningOf,
} from '../fakes/runs';

const log = pino({ level: 'silent' });
const runner = runnerOf('d', 'decode');

/** What is found out about an answer whose connection was closed. */
interface Evidence {
  readonly framing: Framing;
  /** What the VM answers that forwarded it; `gone` if it does not answer. Default: the answer came directly. */
  readonly tunnelEnd?: number | null | 'gone';
  readonly arrivedBytes?: number;
  readonly isRunning: boolean;
  /** Whether the runner leaves or asked for a pause. Default: it takes requests. */
  readonly isClosed?: boolean;
}

/** Runs of a VM that finds out this evidence. */
function runsWith({ tunnelEnd, isRunning, isClosed = false }: Evidence): Runs {
  const routingState = openStateOf();
  const quarantine = quarantineOf();
  const metrics = new RouterMetrics();
  const checks: StateChecks = {
    stateOf: async () => (isRunning ? 'running' : 'gone'),
    survives: async () => isRunning,
    isRunning: async (_runner, mayCall) => {
      if (mayCall === isClosed) throw new Error('called a runner that wants no calls');
      return isRunning;
    },
  };
  const call = async (): Promise<unknown> => {
    if (tunnelEnd === 'gone') throw new Error('not connected');
    return tunnelEnd;
  };
  return new Runs({
    routingState,
    paths: directPaths,
    quarantine,
    screening: screeningOf(quarantine),
    checks,
    ends: new AnswerEnds({
      routingState: { accepts: () => !isClosed },
      fleet: { call },
      checks,
      metrics,
      log,
    }),
    authorizer: authorizerOf(),
    retries: retriesOf(),
    rateLimits: rateLimitsOf(),
    notices: noticesOf(),
    metrics,
    log,
  });
}

/** Relays one event and the end of its connection; `done` means that the caller's stream ends as complete. */
async function outcomeOf(evidence: Evidence): Promise<string> {
  const { framing, tunnelEnd, arrivedBytes = 0 } = evidence;
  const exchange = exchangeInto([]);
  const run = runsWith(evidence).begin(0, exchange, runner);
  const relay = new Relay({
    exchange,
    engine: streamEngine,
    stream: new AnswerStream(),
    canResume: () => false,
    affordsRun: () => true,
    isListed: () => true,
    continuation: { prepare: async () => undefined, confirm: () => undefined, cancel: () => {} },
    onProgress: () => {},
    onFirstEvents: () => {},
  });
  const tunnel = { id: 't', arrivedBytes: () => arrivedBytes };
  const forwarded = tunnelEnd === undefined ? {} : { via: '10.0.0.2:7380', tunnel };
  const reply = { ...replyOf(200, 'id: 1\ndata: x\n\n', framing), ...forwarded };
  const outcome = await relay.forward({ reply, run });
  exchange.end();
  return outcome;
}

describe('an answer whose connection is closed', () => {
  /* Guards against a stream that looks complete though a process on its way was killed; the rows are those of the design note. */
  test.each<readonly [string, Evidence, string]>([
    ['has all bytes of its length', { framing: 'length', isRunning: false }, 'done'],
    ['has its last chunk', { framing: 'chunked', isRunning: false }, 'done'],
    ['came directly from a runner that runs', { framing: 'close', isRunning: true }, 'done'],
    ['came directly from a runner that is gone', { framing: 'close', isRunning: false }, 'broken'],
    [
      'came through a VM by which the runner closed it',
      { framing: 'close', tunnelEnd: 400, arrivedBytes: 400, isRunning: true },
      'done',
    ],
    [
      'came through a VM that was killed',
      { framing: 'close', tunnelEnd: 'gone', arrivedBytes: 400, isRunning: true },
      'broken',
    ],
    [
      'came through a VM that has been started anew',
      { framing: 'close', tunnelEnd: null, arrivedBytes: 400, isRunning: true },
      'broken',
    ],
    [
      'came through a VM that passed on more than has arrived',
      { framing: 'close', tunnelEnd: 400, arrivedBytes: 399, isRunning: true },
      'broken',
    ],
    [
      'came through a VM from a runner that is gone',
      { framing: 'close', tunnelEnd: 400, arrivedBytes: 400, isRunning: false },
      'broken',
    ],
    [
      'came from a runner that leaves and runs',
      { framing: 'close', isRunning: true, isClosed: true },
      'done',
    ],
    [
      'came from a runner that had said that it leaves, and was killed',
      { framing: 'close', isRunning: false, isClosed: true },
      'broken',
    ],
  ])('is complete or cut: it %s', async (_, evidence, outcome) => {
    expect(await outcomeOf(evidence)).toBe(outcome);
  });
});

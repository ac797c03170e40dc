import { setTimeout as pause } from 'node:timers/promises';

import { Failure } from '../../src/core/failure';
import type { Grant } from '../../src/core/memory/types';
import type { LocalDemand } from '../../src/node/router/messages';
import type { ModelContext } from '../../src/node/router/model';
import { ModelHandler } from '../../src/node/router/model';
import type { RetryController } from '../../src/node/router/retries';
import type { Dispatch } from '../../src/node/router/types';
import { exchangeInto, promptRequest, replyOf, streamEngine, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import {
  directPaths,
  openStateOf,
  retriesOf,
  runsOf,
  unlimitedPermits,
  unlimitedQuotas,
  unrecordedOrigins,
} from '../fakes/runs';

/** What a caller gets, and what happened to the prefills. */
interface Outcome {
  readonly out: readonly string[];
  readonly prefills: readonly string[];
  readonly ms: number;
}

/**
 * Serves a request whose first prefill runner answers after a time. The owner refuses a request that
 * its decode runner would have to prefill.
 */
async function serve(
  silentMs: number,
  retries: RetryController,
  prefillRunners: readonly string[] = ['p1', 'p2'],
): Promise<Outcome> {
  const prefills: string[] = [];
  const out: string[] = [];
  const context = {
    routingState: openStateOf([
      ...prefillRunners.map((id) => runnerOf(id, 'prefill')),
      runnerOf('d1', 'decode'),
    ]),
    runners: {
      prefill: async ({ runner: { id, address }, signal }: Dispatch) => {
        prefills.push(id);
        if (id === 'p1') {
          await pause(silentMs, undefined, { signal }).catch(() => {
            prefills.push('abandoned');
            throw new Failure('runnerFailed', 'aborted');
          });
        }
        return { address, handle: 'h' };
      },
      decode: async () => replyOf(200, 'id: 1\n\n'),
    },
    reservations: {
      reserve: async (_service: string, demand: LocalDemand): Promise<Grant> => {
        const prefill = prefillRunners.find((id) => !demand.avoid.includes(id));
        if (demand.prefillsLocally ?? prefill === undefined) {
          if (prefills.length > 0) throw new Failure('deadlineUnreachable', 'a local prefill');
        }
        return { prefill, decode: 'd1' };
      },
      assign: async () => 'd1',
      reportProgress: () => {},
    },
    runs: runsOf(undefined, undefined, undefined, retries),
    paths: directPaths,
    quotas: unlimitedQuotas,
    permits: unlimitedPermits,
    origins: unrecordedOrigins,
    retries,
  } as unknown as ModelContext;
  const startedAt = performance.now();
  await new ModelHandler(context).run(exchangeInto(out, promptRequest, streamRoute), streamEngine);
  return { out, prefills, ms: performance.now() - startedAt };
}

const served = ['200', 'id: 1\n\n'];

describe('a prefill at a sound runner that is silent for longer than prefills take', () => {
  // Guards against a request that is refused since its prefill was given up before another one was certain.
  test.each([
    ['the budget allows no repeat', 0, ['p1', 'p2']],
    ['there is no other prefill runner', 1000, ['p1']],
  ])('is awaited if %s', async (_, repeats, prefillRunners) => {
    const { out, prefills } = await serve(1500, retriesOf(repeats), prefillRunners);
    expect({ out, prefills }).toEqual({ out: served, prefills: ['p1'] });
  });
});

describe('a prefill that takes long', () => {
  // Guards against callers that wait for a runner that lost power.
  test('is abandoned for one at another runner that the budget allows', async () => {
    const { out, prefills, ms } = await serve(5000, retriesOf());
    expect({ out, prefills }).toEqual({ out: served, prefills: ['p1', 'abandoned', 'p2'] });
    expect(ms).toBeLessThan(1200);
  });
});

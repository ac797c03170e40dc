import { Socket } from 'node:net';

import { Failure } from '../../src/core/failure';
import { OpenConnections } from '../../src/node/router/openconnections';
import { newProgress } from '../../src/node/router/progress';
import type { StreamAbandonmentContext } from '../../src/node/router/streamabandonment';
import { abandonmentOf } from '../../src/node/router/streamabandonment';
import { exchangeInto, promptRequest, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import { openStateOf, pathsOf, retriesOf, runsOf, unlimitedQuotas } from '../fakes/runs';

const [first, second] = ['a', 'b'].map((id) => runnerOf(id, 'decode'));

/** Whether the stalled connection of a resumable stream at the first runner may be given up. */
async function mayAbandon(
  change: Partial<StreamAbandonmentContext> = {},
  events = 0,
): Promise<boolean> {
  if (!first || !second) return false;
  const route = { ...streamRoute, resumable: true, attempts: 2 };
  const exchange = exchangeInto([], promptRequest, route);
  const progress = newProgress(exchange);
  progress.stream.begin({ status: 200, framing: 'chunked', isEvents: true });
  for (let id = 1; id <= events; id += 1) {
    progress.stream.push(Buffer.from(`id: ${id}\ndata: x\n\n`));
  }
  const context = {
    routingState: openStateOf([first, second]),
    paths: pathsOf({ a: 'none' }),
    runs: runsOf(),
    quotas: unlimitedQuotas,
    retries: retriesOf(),
    ...change,
  };
  exchange.arrivals.add('run', { repeats: 0, held: 0 });
  const isAllowed = abandonmentOf(context, exchange, progress, first);
  isAllowed?.();
  await new Promise(setImmediate);
  const may = isAllowed?.() ?? false;
  exchange.fail(performance.now(), new Failure('timedOut', 'the test is over'));
  return may;
}

/* Each of these ended sound runs and left their callers without an answer. */
test('a run is given up only if what replaces it is certain', async () => {
  const overQuota = { cover: async () => new Failure('overQuota', 'by the test') };
  expect({
    certain: await mayAbandon(),
    withoutBudget: await mayAbandon({ retries: retriesOf(0) }),
    overQuota: await mayAbandon({ quotas: overQuota }),
    withoutRunner: await mayAbandon({ paths: pathsOf({ a: 'none', b: 'none' }) }),
    withEvents: await mayAbandon({}, 3),
    withEventsOnCutPath: await mayAbandon({ paths: pathsOf({ a: 'tunnel' }) }, 3),
  }).toEqual({
    certain: true,
    withoutBudget: false,
    overQuota: false,
    withoutRunner: false,
    withEvents: false,
    withEventsOnCutPath: true,
  });
});

test('a stalled connection stays open until its owner allows it to be given up', () => {
  const connections = new OpenConnections();
  const socket = new Socket().on('error', () => {});
  let isCertain = false;
  connections.add(0, 'a:80', socket, () => isCertain);
  expect(connections.abandonStalled(2000, 'a:80', 0)).toBe(0);
  isCertain = true;
  expect(connections.abandonStalled(2000, 'a:80', 1500)).toBe(0);
  expect(connections.abandonStalled(2200, 'a:80', 1500)).toBe(1);
});

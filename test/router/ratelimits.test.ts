import { setTimeout as pause } from 'node:timers/promises';

import { waitUntil } from '../fakes/cluster';
import { RouterCluster } from '../fakes/routers';
import type { CallerAnswer, RunnerServer } from '../fakes/routers';

/** Time over which requests are counted, in milliseconds. */
const WINDOW_MS = 4000;
/** Times after a limit was named from which requests count, since VMs know of it, and from which windows may end, in milliseconds. */
const KNOWN_MS = 500;
const SETTLED_MS = 3000;
/** What may come over a limit: a part of it, and requests. */
const OVERAGE = 0.5;
const SLACK = 5;

/** The most requests that reached a runner in a window after it named its limit. */
function mostAfter(namedAt: number, { arrivedAt: reachedAt }: RunnerServer): number {
  const counted = reachedAt.filter((at) => at >= namedAt + KNOWN_MS);
  const ends = counted.filter((at) => at >= namedAt + SETTLED_MS);
  const counts = ends.map((end) => counted.filter((at) => at > end - WINDOW_MS && at <= end));
  return Math.max(0, ...counts.map(({ length }) => length));
}

function allowed(ratePerS: number): number {
  return ((ratePerS * WINDOW_MS) / 1000) * (1 + OVERAGE) + SLACK;
}

/** Time after which VMs that started together ask each other for all they know no more, in milliseconds. */
const JOINED_MS = 5000;
/** Time in which all VMs hear of news, in milliseconds. */
const NEWS_MS = 1000;
/** Time after which a runner that names no limit any more has its share, in milliseconds: some requests of the trial pace. */
const RECOVERY_MS = 10_000;

/** Sends requests at a steady pace to all VMs in turn, beginning before some runners name their limits. */
async function load(
  routers: RouterCluster,
  path: string,
  perS: number,
  limits: readonly (readonly [RunnerServer, number])[],
): Promise<{ readonly answers: readonly CallerAnswer[]; readonly namedAt: number }> {
  const count = perS * 8;
  const asked: Promise<CallerAnswer>[] = [];
  let namedAt = Infinity;
  for (let i = 0; i < count; i += 1) {
    if (i === perS) {
      namedAt = performance.now();
      for (const [runner, ratePerS] of limits) runner.rateLimit = String(ratePerS);
    }
    asked.push(routers.sendRequest(i, path, `${path} ${i}`));
    await pause(1000 / perS);
  }
  for (const [runner] of limits) runner.rateLimit = undefined;
  return { answers: await Promise.all(asked), namedAt };
}

describe('runners that name a rate limit', () => {
  const routers = new RouterCluster({ vms: 7, runners: 3 });

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  /* Seven VMs send to three runners of which two name limits far below a third of the load; the third one could take it all. */
  test('get no more than that of all VMs together: plain calls', async () => {
    const [slow, slower] = routers.runnersOf('plain') as [RunnerServer, RunnerServer];
    const limits = [
      [slow, 2.5],
      [slower, 1.4],
    ] as const;
    const { answers, namedAt } = await load(routers, '/plain/limited', 20, limits);
    for (const [runner, ratePerS] of limits) {
      expect(mostAfter(namedAt, runner)).toBeLessThanOrEqual(allowed(ratePerS));
    }
    expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([200]));
  }, 30_000);

  /* The same with runners that decode. */
  test('get no more than that of all VMs together: streams', async () => {
    const [slow, slower] = routers.runnersOf('decode') as [RunnerServer, RunnerServer];
    const limits = [
      [slow, 2.5],
      [slower, 1.4],
    ] as const;
    const { answers, namedAt } = await load(routers, '/model/limited', 20, limits);
    for (const [runner, ratePerS] of limits) {
      expect(mostAfter(namedAt, runner)).toBeLessThanOrEqual(allowed(ratePerS));
    }
    expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([200]));
  }, 30_000);

  /* A runner that names a limit reads the prompts of all requests: what it does not take is read by those that decode. */
  test('get no more than that of all VMs together: prompts', async () => {
    const [prefill] = routers.runnersOf('prefill') as [RunnerServer];
    const { namedAt } = await load(routers, '/model/prompts', 20, [[prefill, 2.5]]);
    expect(mostAfter(namedAt, prefill)).toBeLessThanOrEqual(allowed(2.5));
  }, 30_000);

  /* All runners of a service name limits, and callers ask for more than the sum. */
  test('are not asked for more by callers who find no other one, and these are refused at once', async () => {
    const limits = routers.runnersOf('plain').map((runner) => [runner, 2] as const);
    const { answers, namedAt } = await load(routers, '/plain/all', 20, limits);
    for (const [runner] of limits) {
      expect(mostAfter(namedAt, runner)).toBeLessThanOrEqual(allowed(2));
    }
    const refused = answers.filter(({ status }) => status === 503);
    expect(refused.length).toBeGreaterThan(0);
    expect(refused.every(({ retryAfter }) => Number(retryAfter) > 0)).toBe(true);
    expect(answers.filter(({ status }) => status === 200).length).toBeGreaterThan(6 * 6);
  }, 30_000);

  /* A runner has recovered. Its limit was so low that it hardly got a request by which to say so. */
  test('get as much as others again once they name none', async () => {
    const [runner] = routers.runnersOf('plain') as [RunnerServer];
    await load(routers, '/plain/recovers', 20, [[runner, 0]]);
    const since = performance.now();
    let turn = 0;
    while (performance.now() - since < RECOVERY_MS) {
      await routers.sendRequest(turn, '/plain/recovered', `${turn}`);
      turn += 1;
    }
    const got = runner.arrivedAt.filter((at) => at > since + RECOVERY_MS - 1000).length;
    expect(got).toBeGreaterThan(3);
  }, 30_000);
});

describe('a runner that names a rate limit to one VM', () => {
  const routers = new RouterCluster({ vms: 7, runners: 3 });

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  /* One VM got the answer that names the limit. If each had to get one of its own, a runner in need would get one more from each VM. */
  test('gets nothing from VMs that only heard of its limit', async () => {
    await pause(JOINED_MS);
    const [runner] = routers.runnersOf('plain') as [RunnerServer];
    runner.rateLimit = '0';
    const before = runner.arrivedAt.length;
    await waitUntil('one VM got an answer', async () => {
      await routers.sendRequest(0, '/plain/first', 'first');
      return runner.arrivedAt.length > before;
    });
    await pause(NEWS_MS);
    const told = runner.arrivedAt.length;
    for (let i = 0; i < 42; i += 1) await routers.sendRequest(i, '/plain/heard', `${i}`);
    // One request in four seconds sees whether the limit still holds.
    expect(runner.arrivedAt.length - told).toBeLessThanOrEqual(1);
    runner.rateLimit = undefined;
  }, 30_000);
});

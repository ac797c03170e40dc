import { setTimeout as pause } from 'node:timers/promises';

import { waitUntil } from '../fakes/cluster';
import { RouterCluster } from '../fakes/routers';
import type { CallerAnswer, RunnerServer } from '../fakes/routers';

/** Length of the window in which requests are counted, in milliseconds. */
const WINDOW_MS = 4000;
/**
 * Times after a limit was announced, in milliseconds: all VMs know it, so requests count; and the
 * first window may end.
 */
const KNOWN_MS = 500;
const SETTLED_MS = 3000;
/** Allowed excess over a limit: a fraction of it, and a number of requests. */
const OVERAGE = 0.5;
const SLACK = 5;

/** The most requests that reached a runner in any window after it announced its limit. */
function mostAfter(announcedAt: number, { arrivedAt }: RunnerServer): number {
  const counted = arrivedAt.filter((at) => at >= announcedAt + KNOWN_MS);
  const ends = counted.filter((at) => at >= announcedAt + SETTLED_MS);
  const counts = ends.map((end) => counted.filter((at) => at > end - WINDOW_MS && at <= end));
  return Math.max(0, ...counts.map(({ length }) => length));
}

function allowed(ratePerS: number): number {
  return ((ratePerS * WINDOW_MS) / 1000) * (1 + OVERAGE) + SLACK;
}

/** Time after which VMs that started together no longer exchange their whole state, in milliseconds. */
const JOINED_MS = 5000;
/** Time in which a gossip update reaches all VMs, in milliseconds. */
const GOSSIP_MS = 1000;
/**
 * Time after which a runner whose limit has ended gets its share of the load again, in
 * milliseconds: some periods of trial requests.
 */
const RECOVERY_MS = 10_000;

/** Sends requests at a steady rate to all VMs in turn, starting before some runners announce their limits. */
async function load(
  routers: RouterCluster,
  path: string,
  perS: number,
  limits: readonly (readonly [RunnerServer, number])[],
): Promise<{ readonly answers: readonly CallerAnswer[]; readonly announcedAt: number }> {
  const count = perS * 8;
  const asked: Promise<CallerAnswer>[] = [];
  let announcedAt = Infinity;
  for (let i = 0; i < count; i += 1) {
    if (i === perS) {
      announcedAt = performance.now();
      for (const [runner, ratePerS] of limits) runner.rateLimit = String(ratePerS);
    }
    asked.push(routers.sendRequest(i, path, `${path} ${i}`));
    await pause(1000 / perS);
  }
  for (const [runner] of limits) runner.rateLimit = undefined;
  return { answers: await Promise.all(asked), announcedAt };
}

describe('runners that announce a rate limit', () => {
  const routers = new RouterCluster({ vms: 7, runners: 3 });

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  /*
   * Seven VMs send to three runners, of which two announce limits far below a third of the load;
   * the third could process all of it.
   */
  test('get no more than it allows from all VMs together: plain calls', async () => {
    const [slow, slower] = routers.runnersOf('plain') as [RunnerServer, RunnerServer];
    const limits = [
      [slow, 2.5],
      [slower, 1.4],
    ] as const;
    const { answers, announcedAt } = await load(routers, '/plain/limited', 20, limits);
    for (const [runner, ratePerS] of limits) {
      expect(mostAfter(announcedAt, runner)).toBeLessThanOrEqual(allowed(ratePerS));
    }
    expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([200]));
  }, 30_000);

  /* The same with decode runners. */
  test('get no more than it allows from all VMs together: streams', async () => {
    const [slow, slower] = routers.runnersOf('decode') as [RunnerServer, RunnerServer];
    const limits = [
      [slow, 2.5],
      [slower, 1.4],
    ] as const;
    const { answers, announcedAt } = await load(routers, '/model/limited', 20, limits);
    for (const [runner, ratePerS] of limits) {
      expect(mostAfter(announcedAt, runner)).toBeLessThanOrEqual(allowed(ratePerS));
    }
    expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([200]));
  }, 30_000);

  /* The only prefill runner announces a limit: decode runners prefill the prompts that exceed it. */
  test('get no more than it allows from all VMs together: prompts', async () => {
    const [prefill] = routers.runnersOf('prefill') as [RunnerServer];
    const { announcedAt } = await load(routers, '/model/prompts', 20, [[prefill, 2.5]]);
    expect(mostAfter(announcedAt, prefill)).toBeLessThanOrEqual(allowed(2.5));
  }, 30_000);

  /* All runners of a service announce limits, and the load exceeds their sum. */
  test('get no more than it allows when no other runner is left, and excess requests are rejected at once', async () => {
    const limits = routers.runnersOf('plain').map((runner) => [runner, 2] as const);
    const { answers, announcedAt } = await load(routers, '/plain/all', 20, limits);
    for (const [runner] of limits) {
      expect(mostAfter(announcedAt, runner)).toBeLessThanOrEqual(allowed(2));
    }
    const refused = answers.filter(({ status }) => status === 503);
    expect(refused.length).toBeGreaterThan(0);
    expect(refused.every(({ retryAfter }) => Number(retryAfter) > 0)).toBe(true);
    expect(answers.filter(({ status }) => status === 200).length).toBeGreaterThan(6 * 6);
  }, 30_000);

  /*
   * A runner has recovered. Its limit was so low that it got hardly a request whose answer could
   * show that.
   */
  test('get as much as others again once the limit has ended', async () => {
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

describe('a runner that announces a rate limit to one VM', () => {
  const routers = new RouterCluster({ vms: 7, runners: 3 });

  beforeAll(() => routers.start(), 30_000);
  afterAll(() => routers.stop(), 30_000);

  /*
   * One VM got the answer that contains the limit. If each VM needed an answer of its own, an
   * overloaded runner would get one more request from each.
   */
  test('gets nothing from VMs that know its limit by gossip only', async () => {
    await pause(JOINED_MS);
    const [runner] = routers.runnersOf('plain') as [RunnerServer];
    runner.rateLimit = '0';
    const before = runner.arrivedAt.length;
    await waitUntil('one VM got an answer', async () => {
      await routers.sendRequest(0, '/plain/first', 'first');
      return runner.arrivedAt.length > before;
    });
    await pause(GOSSIP_MS);
    const reachedWhenKnown = runner.arrivedAt.length;
    for (let i = 0; i < 42; i += 1) await routers.sendRequest(i, '/plain/heard', `${i}`);
    // One trial request in four seconds tests whether the limit still holds.
    expect(runner.arrivedAt.length - reachedWhenKnown).toBeLessThanOrEqual(1);
    runner.rateLimit = undefined;
  }, 30_000);
});

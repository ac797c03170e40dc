import { setTimeout as pause } from 'node:timers/promises';

import { waitUntil } from '../fakes/cluster';
import { RouterCluster } from '../fakes/routers';
import type { StreamAttempt } from '../fakes/streamcaller';
import { StreamCaller } from '../fakes/streamcaller';
import { TimerGate } from '../fakes/timergate';

const VMS = 5;
const RUNNERS = 8;
const CALLERS = 24;
/** Events after which callers leave, or runners crash. */
const FIRST_EVENTS = 20;
/** Time after which all streams have begun, in milliseconds. */
const BEGUN_MS = 700;
/** Share of the streams that callers take up again, relative to new ones, that goes on at least. */
const MIN_SHARE = 0.5;

/** New callers, of which each has a stream of its own. */
function callersOf(name: string, count = CALLERS): readonly StreamCaller[] {
  return Array.from({ length: count }, (_, index) => new StreamCaller(`${name}-${index}`));
}

/** What callers hold in the end. */
function holdingsOf(callers: readonly StreamCaller[]): Readonly<Record<string, number>> {
  return {
    mixed: callers.filter(({ versions }) => versions.length > 1).length,
    outOfOrder: callers.filter(({ isInOrder }) => !isInOrder).length,
  };
}

/** No caller holds events of two versions, or in another order. */
const UNMIXED = { mixed: 0, outOfOrder: 0 };

function wholeOf(attempts: readonly StreamAttempt[]): number {
  return attempts.filter(({ whole, status }) => whole && status === 200).length;
}

describe('a stream of a service with runners of several software versions', () => {
  let routers: RouterCluster;

  async function start(versions: readonly string[]): Promise<void> {
    routers = new RouterCluster({ vms: VMS, runners: RUNNERS, prefillRunners: 2, versions });
    await routers.start();
  }

  afterEach(async () => {
    await routers.stop();
    jest.restoreAllMocks();
  }, 30_000);

  /** Has all callers ask VMs in turn, the first of them the VM at an index. */
  function askAll(
    callers: readonly StreamCaller[],
    firstVm: number,
    leaveAfter?: number,
  ): readonly Promise<StreamAttempt>[] {
    return callers.map((caller, index) =>
      caller.ask(
        routers.addressOf(firstVm + index),
        leaveAfter === undefined ? {} : { leaveAfter },
      ),
    );
  }

  /** Crashes the first `count` decode runners of each of the versions. */
  function crash(count: number, versions: readonly string[]): void {
    for (const version of versions) {
      const runners = routers.runnersOf('decode').filter((runner) => runner.version === version);
      runners.slice(0, count).forEach((runner) => runner.crash());
    }
  }

  // Guards against answers with events of two versions.
  test('goes on within its answer at a runner of the version that began it', async () => {
    await start(['v1', 'v2']);
    const callers = callersOf('broken');
    const attempts = askAll(callers, 0);
    await pause(BEGUN_MS);
    crash(1, ['v1', 'v2']);
    expect({ whole: wholeOf(await Promise.all(attempts)), ...holdingsOf(callers) }).toEqual({
      whole: CALLERS,
      ...UNMIXED,
    });
  }, 30_000);

  // Guards against the same where no runner of the version is left: the answer must look cut.
  test('is cut if its runner was the last one of its version', async () => {
    await start(['v1', 'v2', 'v2', 'v2', 'v2', 'v2', 'v2', 'v2']);
    const callers = callersOf('last');
    const attempts = askAll(callers, 0);
    await pause(BEGUN_MS);
    crash(1, ['v1']);
    const ended = await Promise.all(attempts);
    const isOfLast = callers.map(({ versions }) => versions[0] === 'v1');
    expect(isOfLast).toContain(true);
    expect({ whole: ended.map(({ whole }) => whole), ...holdingsOf(callers) }).toEqual({
      whole: isOfLast.map((isLast) => !isLast),
      ...UNMIXED,
    });
  }, 30_000);

  // Guards against callers that hold events of two versions after they took a stream up again.
  test.each([
    ['the same VM', 0],
    ['another VM', 1],
  ])(
    'goes on at its version when its caller takes it up at %s',
    async (_, offset) => {
      await start(['v1', 'v2']);
      const callers = callersOf('left');
      await Promise.all(askAll(callers, 0, FIRST_EVENTS));
      // In another order than before, since equal orders lead to equal runners.
      const inTurn = callers.map((caller, index) => ({ caller, index })).reverse();
      const ended = await Promise.all(
        inTurn.map(({ caller, index }) => caller.ask(routers.addressOf(index + offset))),
      );
      expect({ whole: wholeOf(ended), ...holdingsOf(callers) }).toEqual({
        whole: CALLERS,
        ...UNMIXED,
      });
    },
    30_000,
  );

  // Guards against the same where the VM that knew the version is gone.
  test('goes on at its version when its VM has ended', async () => {
    await start(['v1', 'v2']);
    const callers = callersOf('ended');
    const attempts = askAll(callers, 0);
    await pause(BEGUN_MS);
    await Promise.all([routers.end(0), routers.end(1)]);
    await Promise.all([routers.startAgain(0), routers.startAgain(1)]);
    const ended = await Promise.all(attempts);
    const cut = callers.filter((_, index) => !ended[index]?.whole);
    const resumed = await Promise.all(askAll(cut, 0));
    expect(cut.length).toBeGreaterThan(CALLERS / VMS);
    expect(wholeOf(resumed)).toBeGreaterThanOrEqual(cut.length * MIN_SHARE);
    expect(holdingsOf(callers)).toEqual(UNMIXED);
  }, 30_000);

  /*
   * Guards against guesses, since any version may be the wrong one, and against rejections that come
   * late: no timer may fire before they are sent, and no runner may be asked.
   */
  test.each<readonly [string, Readonly<Record<string, string>>]>([
    ['no VM knows', { resumes: 'never-was', 'last-event-id': '7' }],
    ['its caller does not name', { 'last-event-id': '7' }],
    ['its caller names by two ids', { resumes: 'one, other', 'last-event-id': '7' }],
  ])(
    'is rejected at once, not run, if %s',
    async (_, headers) => {
      const gate = new TimerGate();
      gate.install();
      await start(['v1', 'v2']);
      const callers = callersOf('unknown', VMS);
      const arrivals = routers.arrivalCount;
      const ended = await gate.whileClosed(() =>
        Promise.all(
          callers.map((caller, index) => caller.ask(routers.addressOf(index), { headers })),
        ),
      );
      expect(ended.map(({ status }) => status)).toEqual(Array(VMS).fill(503));
      expect(ended.filter(({ retryAfter }) => retryAfter === undefined)).toEqual([]);
      expect(routers.arrivalCount - arrivals).toBe(0);
    },
    30_000,
  );

  // Guards against VMs that all start anew and take the only version that is left for the only one there was.
  test('is rejected after all VMs have restarted, also if one version is left', async () => {
    await start(['v1', 'v2']);
    const callers = callersOf('restarted', VMS);
    await Promise.all(askAll(callers, 0, FIRST_EVENTS));
    await waitUntil('the versions are saved', async () => {
      const saved = routers.store.textOf('goldcrestdock/served') ?? '';
      return saved.includes('v1') && saved.includes('v2');
    });
    routers.runnersOf('decode').forEach(({ version, id }) => {
      if (version === 'v1') routers.store.remove(`servers/${id}`);
    });
    await routers.restart();
    const ended = await Promise.all(askAll(callers, 0));
    expect(ended.map(({ status }) => status)).toEqual(Array(VMS).fill(503));
  }, 30_000);

  /*
   * Guards against VMs that all start anew and take the version that replaced another one, before
   * they were killed or after it, for the only one there was.
   */
  test.each([
    ['while they were down', undefined],
    ['just before', 300],
    ['a second before', 1000],
  ])(
    'never goes on at another version after all VMs were killed and its version was replaced %s',
    async (_, beforeMs) => {
      await start(['v1']);
      const callers = callersOf('replaced');
      const attempts = askAll(callers, 0);
      await pause(BEGUN_MS);
      const replace = async (): Promise<void> => {
        for (let index = 0; index < RUNNERS; index += 1) await routers.addRunner('decode', 'v2');
        routers.withdraw('v1');
      };
      if (beforeMs !== undefined) {
        await replace();
        await pause(beforeMs);
      }
      await routers.endAll();
      if (beforeMs === undefined) await replace();
      await routers.startAllAgain();
      await Promise.all(attempts);
      const ended = await Promise.all(askAll(callers, 0));
      expect({ whole: wholeOf(ended), ...holdingsOf(callers) }).toEqual({ whole: 0, ...UNMIXED });
    },
    30_000,
  );

  // Guards against VMs that confirm each other, or overwrite what was recorded, as they start together.
  test('never goes on at another version after most VMs, then all, then all again were killed', async () => {
    await start(['v1', 'v2']);
    const callers = callersOf('again');
    let open = callers;
    let attempts = askAll(callers, 0);
    const restart = async (turns: readonly number[]): Promise<void> => {
      await pause(BEGUN_MS);
      await Promise.all(turns.map((turn) => routers.end(turn)));
      await Promise.all(turns.map((turn) => routers.startAgain(turn)));
      const ended = await Promise.all(attempts);
      open = open.filter((_, index) => wholeOf(ended.slice(index, index + 1)) === 0);
      attempts = askAll(open, 0);
    };
    await restart([0, 1, 2]);
    await restart([0, 1, 2, 3, 4]);
    routers.withdraw('v1');
    await restart([0, 1, 2, 3, 4]);
    await Promise.all(attempts);
    expect(open.length).toBeGreaterThan(CALLERS / VMS);
    expect(holdingsOf(callers)).toEqual(UNMIXED);
  }, 40_000);

  test('goes on after all VMs have restarted where all runners have one version', async () => {
    await start(['v1']);
    const callers = callersOf('restarted', VMS);
    await Promise.all(askAll(callers, 0, FIRST_EVENTS));
    await routers.restart();
    expect(wholeOf(await Promise.all(askAll(callers, 0)))).toBe(VMS);
    expect(holdingsOf(callers)).toEqual(UNMIXED);
  }, 30_000);

  // Guards against rejections where there is nothing to mix.
  test('goes on whatever its caller names where all runners have one version', async () => {
    await start(['v1']);
    const callers = callersOf('single', VMS);
    const headers = { resumes: 'never-was', 'last-event-id': '7' };
    const ended = await Promise.all(
      callers.map((caller, index) => caller.ask(routers.addressOf(index), { headers })),
    );
    expect(wholeOf(ended)).toBe(VMS);
  }, 30_000);
});

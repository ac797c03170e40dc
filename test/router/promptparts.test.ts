import { setTimeout as pause } from 'node:timers/promises';

import type { PromptKind } from '../fakes/promptcallers';
import { crashOf, PromptCallers, SHARED_PART } from '../fakes/promptcallers';
import type { CrashRules } from '../fakes/routers';
import { LONG_EVENT_COUNT as LONG_EVENTS, RouterCluster } from '../fakes/routers';
import { StreamCaller } from '../fakes/streamcaller';

const VMS = 5;
const RUNNERS = 8;
/** Time from the crash of a runner to its restart, in milliseconds. */
const RESTART_MS = 2500;
/** Time in which only sound requests are sent at first, in milliseconds. */
const CALM_MS = 2000;
/** Crashes after which a part must be known, or the time after which there are no more, in milliseconds. */
const KNOWN_CRASHES = 5;
const CRASHES_LIMIT_MS = 5000;
/** Time after the last of these crashes in which requests with the part are counted, in milliseconds. */
const OBSERVED_MS = 6000;
/** Time after which sound requests begin as before, in milliseconds. */
const SETTLED_MS = 3000;
/** Most requests with a fatal part that reach runners after that crash, prefills included. */
const MAX_LATE_SENDS = 3;
/** Crashes by chance and the time between two, in milliseconds: at most five of the runners are down at a time. */
const CHANCE_CRASHES = 10;
const CHANCE_CRASH_MS = 500;
/** Time after which all streams have begun, and none has ended, in milliseconds. */
const CUT_MS = 1000;
/** Least share of the sound requests that begin, of the share before. */
const MIN_SHARE = 0.9;

const FATAL = 'fa7a1';
const CALLERS = ['c1', 'c2', 'c3', 'c4'];

const sound: PromptKind = {
  name: 'sound',
  perS: 25,
  callers: CALLERS,
  partsOf: (caller) => [SHARED_PART, caller],
};

const fatal: PromptKind = {
  name: 'fatal',
  perS: 4,
  callers: CALLERS,
  partsOf: (caller) => [SHARED_PART, caller, FATAL],
};

/** What a test expects after the crashes that make a part known. */
const CONTAINED = { late: 'contained', sound: 'as before' };

describe('a prompt part that crashes each runner that begins to write an answer on it', () => {
  let routers: RouterCluster;
  let load: PromptCallers[] = [];

  async function start(crashes: Partial<CrashRules> = {}): Promise<void> {
    const rules = { fatalParts: new Set([FATAL]), ...crashes };
    const options = { vms: VMS, runners: RUNNERS, prefillRunners: 2, restartMs: RESTART_MS };
    routers = new RouterCluster({ ...options, crashes: rules });
    await routers.start();
  }

  /** Starts callers of some kinds. */
  function call(...kinds: readonly PromptKind[]): readonly PromptCallers[] {
    const started = kinds.map((kind) => new PromptCallers(routers, kind).start());
    load.push(...started);
    return started;
  }

  /** Requests with a part that reached runners after a time. */
  function sendsAfter(at: number, part = FATAL): number {
    return routers.sends.filter((send) => send.at > at && send.parts.includes(part)).length;
  }

  /** Crashes one of the decode runners that run. */
  function crashOne(turn: number): void {
    const running = routers.runnersOf('decode').filter(({ id }) => !routers.crashed.includes(id));
    running[turn % running.length]?.crash();
  }

  /** Compares what reached the runners, and what began, with what may. */
  function judge(lateSends: number, before: number, after: number): Readonly<typeof CONTAINED> {
    return {
      late: lateSends <= MAX_LATE_SENDS ? 'contained' : `${lateSends} requests reach runners`,
      sound: after >= before * MIN_SHARE ? 'as before' : `${before} begin before, ${after} after`,
    };
  }

  afterEach(async () => {
    await Promise.all(load.map((callers) => callers.stop()));
    load = [];
    await routers.stop();
  }, 30_000);

  // Guards against crashes that are counted by whole requests, of which no two are alike.
  test.each<readonly [string, Partial<PromptKind>, Partial<CrashRules>]>([
    ['after the part of the caller', {}, {}],
    ['before it', { partsOf: (caller) => [SHARED_PART, FATAL, caller] }, {}],
    ['before the part that all requests share', { partsOf: (c) => [FATAL, SHARED_PART, c] }, {}],
    ['in answers that have begun', {}, { eventsBefore: 1 }],
    ['in answers that end with their connections', {}, { endsByClose: true }],
    ['in such answers that have begun', {}, { eventsBefore: 1, endsByClose: true }],
  ])(
    'is kept from runners wherever it stands: %s',
    async (_, kind, rules) => {
      await start(rules);
      const startedAt = performance.now();
      const [callers] = call(sound);
      await pause(CALM_MS);
      const crashedFrom = performance.now();
      call({ ...fatal, ...kind });
      const knownAt = await crashOf(routers, KNOWN_CRASHES, CRASHES_LIMIT_MS);
      await pause(OBSERVED_MS);
      const before = callers?.shareBegun(startedAt, crashedFrom) ?? 0;
      const after = callers?.shareBegun(knownAt + SETTLED_MS) ?? 0;
      expect(judge(sendsAfter(knownAt), before, after)).toEqual(CONTAINED);
    },
    40_000,
  );

  // Guards against rejecting callers for what they share with fatal requests.
  test('does not keep a caller whose first sound request comes later', async () => {
    await start();
    call(sound);
    await pause(CALM_MS);
    call({ ...fatal, callers: ['late'] });
    const knownAt = await crashOf(routers, KNOWN_CRASHES, CRASHES_LIMIT_MS);
    await pause(SETTLED_MS);
    const [late] = call({ ...sound, name: 'late', perS: 4, callers: ['late'] });
    const lateFrom = performance.now();
    await pause(OBSERVED_MS);
    const settledAt = lateFrom + SETTLED_MS;
    const share = late?.shareBegun(settledAt) ?? 0;
    expect(judge(sendsAfter(knownAt), 1, share)).toEqual(CONTAINED);
  }, 40_000);

  // Guards against rejecting sound requests for crashes that no part of a prompt causes.
  test('is not suspected if runners crash by chance', async () => {
    await start();
    const [callers] = call(sound);
    await pause(CALM_MS);
    for (let crash = 0; crash < CHANCE_CRASHES; crash += 1) {
      crashOne(crash);
      await pause(CHANCE_CRASH_MS);
    }
    await pause(RESTART_MS);
    const refused = callers?.attempts.filter(({ status }) => status === 503) ?? [];
    expect(routers.crashed.length).toBe(CHANCE_CRASHES);
    expect(refused).toEqual([]);
  }, 40_000);

  // Guards against requests that are refused since their connections break at runners that go on.
  test('is not suspected if runners only break the connections of its requests', async () => {
    await start({ isSurvived: true });
    const [broken] = call({ ...fatal, perS: 8 });
    await pause(OBSERVED_MS / 2);
    await broken?.stop();
    const statuses = new Set(broken?.attempts.map(({ status }) => status));
    expect([...statuses]).toEqual([502]);
  }, 40_000);

  // Guards against answers that look complete although their runner crashed.
  test('does not have answers cut that end with their connections look complete', async () => {
    await start({ fatalParts: new Set(), endsByClose: true });
    const streams = Array.from({ length: 24 }, (_, index) => new StreamCaller(`closed-${index}`));
    const attempts = streams.map((one, index) => one.ask(routers.addressOf(index)));
    await pause(CUT_MS);
    crashOne(0);
    crashOne(0);
    const ended = await Promise.all(attempts);
    const events = streams.map((one) => one.events.length);
    expect(ended.filter(({ whole }, index) => whole && events[index] !== LONG_EVENTS)).toEqual([]);
    expect(new Set(events)).toEqual(new Set([LONG_EVENTS]));
  }, 40_000);
});

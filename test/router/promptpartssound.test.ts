import { setTimeout as pause } from 'node:timers/promises';

import { crashOf } from '../fakes/promptcallers';
import {
  CALM_MS,
  CONTAINED,
  CRASHES_LIMIT_MS,
  fatal,
  KNOWN_CRASHES,
  OBSERVED_MS,
  PromptLoad,
  RESTART_MS,
  SETTLED_MS,
  sound,
} from '../fakes/promptload';
import { LONG_EVENT_COUNT as LONG_EVENTS } from '../fakes/routers';
import { StreamCaller } from '../fakes/streamcaller';

/** Crashes by chance and the time between two, in milliseconds: at most five of the runners are down at a time. */
const CHANCE_CRASHES = 10;
const CHANCE_CRASH_MS = 500;
/** Time after which all streams have begun, and none has ended, in milliseconds. */
const CUT_MS = 1000;

describe('a prompt part that crashes each runner that begins to write an answer on it', () => {
  let load: PromptLoad;

  afterEach(() => load.stop(), 30_000);

  // Guards against rejecting callers for what they share with fatal requests.
  test('does not keep a caller whose first sound request comes later', async () => {
    load = new PromptLoad();
    await load.start();
    load.call(sound);
    await pause(CALM_MS);
    load.call({ ...fatal, callers: ['late'] });
    const knownAt = await crashOf(load.routers, KNOWN_CRASHES, CRASHES_LIMIT_MS);
    await pause(SETTLED_MS);
    const late = load.call({ ...sound, name: 'late', perS: 4, callers: ['late'] });
    const lateFrom = performance.now();
    await pause(OBSERVED_MS);
    const share = late.shareBegun(lateFrom + SETTLED_MS);
    expect(load.judge(knownAt, 1, share)).toEqual(CONTAINED);
  }, 40_000);

  // Guards against rejecting sound requests for crashes that no part of a prompt causes.
  test('is not suspected if runners crash by chance', async () => {
    load = new PromptLoad();
    await load.start();
    const callers = load.call(sound);
    await pause(CALM_MS);
    for (let crash = 0; crash < CHANCE_CRASHES; crash += 1) {
      load.crashOne(crash);
      await pause(CHANCE_CRASH_MS);
    }
    await pause(RESTART_MS);
    const refused = callers.attempts.filter(({ status }) => status === 503);
    expect(load.routers.crashed.length).toBe(CHANCE_CRASHES);
    expect(refused).toEqual([]);
  }, 40_000);

  // Guards against requests that are refused since their connections break at runners that go on.
  test('is not suspected if runners only break the connections of its requests', async () => {
    load = new PromptLoad({ isSurvived: true });
    await load.start();
    const broken = load.call({ ...fatal, perS: 8 });
    await pause(OBSERVED_MS / 2);
    await broken.stop();
    const statuses = new Set(broken.attempts.map(({ status }) => status));
    expect([...statuses]).toEqual([502]);
  }, 40_000);

  // Guards against answers that look complete although their runner crashed.
  test('does not have answers cut that end with their connections look complete', async () => {
    load = new PromptLoad({ fatalParts: new Set(), endsByClose: true });
    await load.start();
    const streams = Array.from({ length: 24 }, (_, index) => new StreamCaller(`closed-${index}`));
    const attempts = streams.map((one, index) => one.ask(load.routers.addressOf(index)));
    await pause(CUT_MS);
    load.crashOne(0);
    load.crashOne(0);
    const ended = await Promise.all(attempts);
    const events = streams.map((one) => one.events.length);
    expect(ended.filter(({ whole }, index) => whole && events[index] !== LONG_EVENTS)).toEqual([]);
    expect(new Set(events)).toEqual(new Set([LONG_EVENTS]));
  }, 40_000);
});

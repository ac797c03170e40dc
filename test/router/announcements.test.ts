import { setTimeout as pause } from 'node:timers/promises';

import { RouterCluster } from '../fakes/routers';
import type { CallerAnswer, Contact, RunnerServer } from '../fakes/routers';

/** Time after a VM learned that a runner leaves from which it may send it nothing, in milliseconds. */
const DRAIN_MS = 2000;
/** Time after a rejection from which requests to the runner count, in milliseconds: others were under way. */
const UNDER_WAY_MS = 500;
/** Requests that may reach a runner from one VM in the rest of the time for which it wants none. */
const MAX_DURING_PAUSE = 2;
/** Time for which a rejecting runner wants no requests, in milliseconds. */
const PAUSE_MS = 3000;

const RUNNERS = 4;
const REQUESTS_PER_S = 60;
const LOAD_MS = 5000;
/** Part of the load before runners make their announcement, in milliseconds. */
const BEFORE_MS = 1000;

type Role = 'plain' | 'decode' | 'prefill';

const roles: readonly Role[] = ['plain', 'decode', 'prefill'];

/** Number of rejecting runners; decode runners prefill prompts if no prefill runner does. */
const rejectingRunners: Readonly<Record<Role, number>> = {
  plain: RUNNERS - 1,
  decode: RUNNERS - 1,
  prefill: RUNNERS,
};

/** Requests that reach a runner from the VM that got an announcement, in a span after it. */
function arrivalsAfter(
  { contacts }: RunnerServer,
  { at: announcedAt, vm: announcedTo }: Contact,
  fromMs: number,
  toMs: number,
): number {
  const isIn = (at: number): boolean => at > announcedAt + fromMs && at < announcedAt + toMs;
  return contacts.filter(({ at, vm }) => vm === announcedTo && isIn(at)).length;
}

/** The most requests that reach a runner from one VM in a span after any of its announcements. */
function mostAfter(
  runner: RunnerServer,
  announcements: readonly Contact[],
  fromMs: number,
  toMs = Infinity,
): number {
  const counts = announcements.map((one) => arrivalsAfter(runner, one, fromMs, toMs));
  return Math.max(0, ...counts);
}

/** Some runners of a role, those with the most requests first. */
function busiestOf(routers: RouterCluster, role: Role, count: number): readonly RunnerServer[] {
  const runners = [...routers.runnersOf(role)];
  return runners.sort((a, b) => b.contacts.length - a.contacts.length).slice(0, count);
}

/** Sends requests to all VMs in turn; calls back after `BEFORE_MS`. */
async function load(
  routers: RouterCluster,
  role: Role,
  announce: () => void,
): Promise<readonly CallerAnswer[]> {
  const service = role === 'plain' ? 'plain' : 'model';
  const startedAt = performance.now();
  const answers: Promise<CallerAnswer>[] = [];
  let isAnnounced = false;
  for (let turn = 0; performance.now() - startedAt < LOAD_MS; turn += 1) {
    if (!isAnnounced && performance.now() - startedAt >= BEFORE_MS) {
      isAnnounced = true;
      announce();
    }
    answers.push(routers.sendRequest(turn, `/${service}/steady`, `${role} ${turn}`));
    await pause(1000 / REQUESTS_PER_S);
  }
  return Promise.all(answers);
}

/* The runners keep their entries in the store: only their answers tell. */
describe('runners that announce in their answers', () => {
  let routers: RouterCluster;

  beforeEach(async () => {
    routers = new RouterCluster({ vms: 5, runners: RUNNERS, prefillRunners: RUNNERS });
    await routers.start();
  }, 30_000);
  afterEach(() => routers.stop(), 30_000);

  /* The store is down and does not take the entry of a runner that leaves. */
  test.each(roles)(
    'that they leave get nothing from VMs that have passed on such an answer: %s',
    async (role) => {
      let leaving: readonly RunnerServer[] = [];
      const answers = await load(routers, role, () => {
        leaving = busiestOf(routers, role, RUNNERS - 1);
        for (const runner of leaving) runner.isLeaving = true;
      });
      for (const runner of leaving) {
        expect(mostAfter(runner, runner.leavingAnswers, DRAIN_MS)).toBe(0);
      }
      expect(leaving.flatMap(({ leavingAnswers }) => leavingAnswers).length).toBeGreaterThan(0);
      expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([200]));
    },
    30_000,
  );

  /* Runners that reject in a millisecond have nothing in flight and look the idlest; too many fail to eject them all. */
  test.each(roles)(
    'when to come back get nothing before from VMs that they rejected: %s',
    async (role) => {
      let rejecting: readonly RunnerServer[] = [];
      await load(routers, role, () => {
        rejecting = busiestOf(routers, role, rejectingRunners[role]);
        for (const runner of rejecting) runner.rejection = String(PAUSE_MS / 1000);
      });
      for (const runner of rejecting) {
        expect(mostAfter(runner, runner.rejections, UNDER_WAY_MS, PAUSE_MS)).toBeLessThanOrEqual(
          MAX_DURING_PAUSE,
        );
      }
      const rejections = rejecting.flatMap((runner) => runner.rejections);
      expect(rejections.length).toBeGreaterThan(0);
    },
    30_000,
  );
});

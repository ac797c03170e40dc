import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';

import type { CountedRequest } from '../fakes/repeats';
import { worstWindow } from '../fakes/repeats';
import type { CallFault, CallerAnswer, RouterClusterOptions } from '../fakes/routers';
import { LONG_PATH, RouterCluster } from '../fakes/routers';

/** Shorter windows than those of a deployment, so that a test has two. */
const bounds = { ratio: 0.2, extra: 54, windowMs: 3000 };
const VMS = 7;
const RUNNERS = 10;
const PREFILL_RUNNERS = 3;
const REQUESTS_PER_S = 25;
/** Time until the VMs have had their budgets for more than a window, in milliseconds. */
const WARM_UP_MS = 3500;
/** Time for which runs fail, in milliseconds. */
const LOAD_MS = 6500;
/** Time between two restarts, in milliseconds. */
const RESTART_MS = 700;
/** Share of the calls that fail where few do. */
const FEW = 0.08;
/** Share of the requests that are completed then at least. */
const MIN_COMPLETED = 0.95;

/** Paths of the services whose requests may be sent to several runners. */
const paths = { model: LONG_PATH, plain: '/plain/' } as const;

/** How calls fail: all runs, or a share of all calls. */
interface Failures {
  readonly fault: CallFault;
  /** Share of the runs that fail. Default: all. */
  readonly runs?: number;
  /** Share of the prefills that fail. Default: none. */
  readonly prefills?: number;
}

/** The fault of a call; prefills are not cut. */
function faultOf(
  { fault, runs = 1, prefills = 0 }: Failures,
  isPrefill: boolean,
): CallFault | undefined {
  if (Math.random() >= (isPrefill ? prefills : runs)) return undefined;
  return isPrefill && fault === 'cut' ? 'error' : fault;
}

interface Load {
  readonly answers: readonly CallerAnswer[];
  /** Repeats over what is allowed, in the worst window. */
  readonly excess: number;
  readonly repeats: number;
}

describe('retries of a whole fleet', () => {
  let routers: RouterCluster;

  async function start(options: RouterClusterOptions = {}): Promise<void> {
    routers = new RouterCluster({
      vms: VMS,
      runners: RUNNERS,
      prefillRunners: PREFILL_RUNNERS,
      retries: bounds,
      ...options,
    });
    await routers.start();
  }

  afterEach(() => routers.stop(), 30_000);

  /** Sends requests to all VMs in turn while runners fail them. */
  async function load(
    service: keyof typeof paths,
    failures: Failures,
    whileLoaded: (until: number) => Promise<void> = async () => {},
  ): Promise<Load> {
    const role = service === 'model' ? 'decode' : 'plain';
    const requests: CountedRequest[] = [];
    const answers: Promise<CallerAnswer>[] = [];
    const send = (turn: number): void => {
      const id = randomUUID();
      requests.push({ at: performance.now(), id });
      const headers = { 'request-id': id };
      answers.push(routers.sendRequest(turn, `${paths[service]}x`, `${service} ${turn}`, headers));
    };
    await pause(WARM_UP_MS);
    const runners = [...routers.runnersOf(role), ...routers.runnersOf('prefill')];
    runners.forEach((runner) => {
      Object.assign(runner, { faultOf: (isPrefill: boolean) => faultOf(failures, isPrefill) });
    });
    const until = performance.now() + LOAD_MS;
    const others = whileLoaded(until);
    for (let turn = 0; performance.now() < until; turn += 1) {
      send(turn);
      await pause(1000 / REQUESTS_PER_S);
    }
    await others;
    const ended = await Promise.all(answers);
    const ids = new Set(requests.map(({ id }) => id));
    const arrivals = runners.flatMap((runner) => runner.counted);
    const counted = arrivals.filter(({ requestId }) => ids.has(requestId));
    const { repeats, allowed } = worstWindow(requests, counted, bounds);
    return { answers: ended, excess: Math.max(0, repeats - allowed), repeats };
  }

  /** Ends VMs and starts them again, one after the other. */
  async function restartInTurn(until: number): Promise<void> {
    for (let turn = 0; performance.now() < until; turn += 1) {
      await routers.restartVm(turn);
      await pause(RESTART_MS);
    }
  }

  // Guards against repeats beyond what the fleet may send to a service whose runs fail.
  test.each<readonly [keyof typeof paths, Failures]>([
    ['model', { fault: 'cut' }],
    ['model', { fault: 'error', prefills: 0.4 }],
    ['model', { fault: 'rejected' }],
    ['plain', { fault: 'error' }],
  ])(
    'stay within the budget: %s, failures %j',
    async (service, failures) => {
      await start();
      const { excess, repeats } = await load(service, failures);
      expect(excess).toBe(0);
      expect(repeats).toBeGreaterThan(0);
    },
    30_000,
  );

  // Guards against VMs that see no other and take what belongs to the whole fleet.
  test.each<readonly [keyof typeof paths, CallFault]>([
    ['model', 'error'],
    ['model', 'rejected'],
    ['plain', 'cut'],
  ])(
    'stay within the budget while VMs do not reach each other: %s, every run is %s',
    async (service, fault) => {
      await start({ isolated: true });
      const { excess } = await load(service, { fault });
      expect(excess).toBe(0);
    },
    30_000,
  );

  // Guards against processes that begin anew with a budget that was spent.
  test.each<readonly [keyof typeof paths, CallFault]>([
    ['model', 'cut'],
    ['model', 'rejected'],
    ['plain', 'error'],
  ])(
    'stay within the budget while VMs restart: %s, every run is %s',
    async (service, fault) => {
      await start();
      const { excess } = await load(service, { fault }, restartInTurn);
      expect(excess).toBe(0);
    },
    30_000,
  );

  // Guards against a budget that is too small for a service with few failures.
  test.each(['model', 'plain'] as const)(
    'complete the requests to a %s service whose runners fail few calls',
    async (service) => {
      await start();
      const failures = { fault: 'error', runs: FEW, prefills: FEW } as const;
      const { answers } = await load(service, failures);
      const completed = answers.filter(({ status, whole }) => status === 200 && whole);
      expect(completed.length / answers.length).toBeGreaterThanOrEqual(MIN_COMPLETED);
    },
    30_000,
  );
});

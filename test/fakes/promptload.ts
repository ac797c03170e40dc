/** A fleet whose callers share prompt parts, some of which crash each runner that begins to write an answer on them. */

import { setTimeout as pause } from 'node:timers/promises';

import type { PromptKind } from './promptcallers';
import { crashOf, PromptCallers, SHARED_PART } from './promptcallers';
import type { CrashRules } from './routers';
import { RouterCluster } from './routers';

const VMS = 5;
const RUNNERS = 8;
/** Time from the crash of a runner to its restart, in milliseconds. */
export const RESTART_MS = 2500;
/** Time in which only sound requests are sent at first, in milliseconds. */
export const CALM_MS = 2000;
/** Crashes after which a part must be known, or the time after which there are no more, in milliseconds. */
export const KNOWN_CRASHES = 5;
export const CRASHES_LIMIT_MS = 5000;
/** Time after the last of these crashes in which requests with the part are counted, in milliseconds. */
export const OBSERVED_MS = 6000;
/** Time after which sound requests begin as before, in milliseconds. */
export const SETTLED_MS = 3000;
/** Most requests with a fatal part that reach runners after that crash, prefills included. */
const MAX_LATE_SENDS = 3;
/** Least share of the sound requests that begin, of the share before. */
const MIN_SHARE = 0.9;

/** The part that crashes runners. */
export const FATAL = 'fa7a1';
const CALLERS = ['c1', 'c2', 'c3', 'c4'];

/** Requests that crash no runner. */
export const sound: PromptKind = {
  name: 'sound',
  perS: 25,
  callers: CALLERS,
  partsOf: (caller) => [SHARED_PART, caller],
};

/** Requests that crash runners. */
export const fatal: PromptKind = {
  name: 'fatal',
  perS: 4,
  callers: CALLERS,
  partsOf: (caller) => [SHARED_PART, caller, FATAL],
};

/** What a test expects after the crashes that make a part known. */
export const CONTAINED = { late: 'contained', sound: 'as before' };

/** The fleet and its callers. */
export class PromptLoad {
  readonly routers: RouterCluster;

  readonly #load: PromptCallers[] = [];

  /** VMs start with both services; the plain one, which no case uses, has a single runner. */
  constructor(crashes: Partial<CrashRules> = {}) {
    const rules = { fatalParts: new Set([FATAL]), ...crashes };
    this.routers = new RouterCluster({
      vms: VMS,
      runners: RUNNERS,
      plainRunners: 1,
      prefillRunners: 2,
      restartMs: RESTART_MS,
      crashes: rules,
    });
  }

  /** Starts the fleet. */
  start(): Promise<void> {
    return this.routers.start();
  }

  /** Starts callers of one kind. */
  call(kind: PromptKind): PromptCallers {
    const callers = new PromptCallers(this.routers, kind).start();
    this.#load.push(callers);
    return callers;
  }

  /** Crashes one of the decode runners that run. */
  crashOne(turn: number): void {
    const { crashed } = this.routers;
    const running = this.routers.runnersOf('decode').filter(({ id }) => !crashed.includes(id));
    running[turn % running.length]?.crash();
  }

  /** Runs calm callers, then fatal ones, and compares what reached the runners with what may. */
  async contain(kind: PromptKind): Promise<Readonly<typeof CONTAINED>> {
    const startedAt = performance.now();
    const callers = this.call(sound);
    await pause(CALM_MS);
    const crashedFrom = performance.now();
    this.call(kind);
    const knownAt = await crashOf(this.routers, KNOWN_CRASHES, CRASHES_LIMIT_MS);
    await pause(OBSERVED_MS);
    const before = callers.shareBegun(startedAt, crashedFrom);
    return this.judge(knownAt, before, callers.shareBegun(knownAt + SETTLED_MS));
  }

  /** Compares what reached the runners after a time, and what began, with what may. */
  judge(knownAt: number, before: number, after: number): Readonly<typeof CONTAINED> {
    const late = this.routers.sends.filter(
      ({ at, parts }) => at > knownAt && parts.includes(FATAL),
    );
    return {
      late: late.length <= MAX_LATE_SENDS ? 'contained' : `${late.length} requests reach runners`,
      sound: after >= before * MIN_SHARE ? 'as before' : `${before} begin before, ${after} after`,
    };
  }

  async stop(): Promise<void> {
    await Promise.all(this.#load.map((callers) => callers.stop()));
    await this.routers.stop();
  }
}

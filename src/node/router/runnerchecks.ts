/** Checks whether the processes of runners still run after connections to them ended. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Runner } from '../../core/routing/types';
import type { RunnerState } from '../../core/stream/silence';
import { SOUND_SILENCE_MS } from '../../core/stream/silence';
import type { RunnerClient } from './types';

/** Time until a runner that did not answer is checked again, in milliseconds. */
const RECHECK_MS = 250;

/** The checks of one runner. */
interface RunnerCheck {
  /** The check in progress. */
  readonly current: Promise<RunnerState>;
  /** The check that follows it, for those who asked since it began; undefined if nobody has. */
  next: Promise<RunnerState> | undefined;
}

/** Checks of one VM. A runner that crashes ends many connections at once; they share its checks. */
export class RunnerChecks {
  readonly #runners: Pick<RunnerClient, 'stateOf'>;

  readonly #checks = new Map<string, RunnerCheck>();

  constructor(runners: Pick<RunnerClient, 'stateOf'>) {
    this.#runners = runners;
  }

  /** Whether a runner has shown that its process runs, by a check that begins after the call. */
  async isRunning(runner: Runner, mayCall = true): Promise<boolean> {
    return (await this.stateOf(runner, mayCall)) === 'running';
  }

  /**
   * Whether a runner turns out to run. One that does not answer is checked again as long as a sound
   * one may be silent.
   */
  async survives(runner: Runner): Promise<boolean> {
    const until = performance.now() + SOUND_SILENCE_MS;
    // Without a report, a new instance at the address looks like the one before.
    const mayGoOn = runner.role !== 'plain';
    let state = await this.stateOf(runner);
    while (state === 'unknown' && mayGoOn && performance.now() < until) {
      await pause(RECHECK_MS, undefined, { ref: false });
      state = await this.stateOf(runner);
    }
    return state === 'running';
  }

  /**
   * What a check of a runner shows that begins after the call.
   * @param mayCall see `RunnerClient`
   */
  stateOf(runner: Runner, mayCall = true): Promise<RunnerState> {
    const check = this.#checks.get(runner.id);
    if (!check) return this.#begin(runner, mayCall);
    // The check in progress may have begun before the connection ended.
    check.next ??= check.current.then(() => this.#begin(runner, mayCall));
    return check.next;
  }

  #begin(runner: Runner, mayCall: boolean): Promise<RunnerState> {
    const current = this.#runners.stateOf(runner, mayCall).finally(() => {
      const check = this.#checks.get(runner.id);
      if (check?.current === current && !check.next) this.#checks.delete(runner.id);
    });
    this.#checks.set(runner.id, { current, next: undefined });
    return current;
  }
}

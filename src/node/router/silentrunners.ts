/**
 * Checks, on the owner of a service, the runners that requests failed at: a runner that lost power
 * fails each request only after a timeout, and each VM learns that from its own requests.
 */

import type { Logger } from 'pino';

import { toFailure } from '../../core/failure';
import type { Runner } from '../../core/routing/types';
import type { RunnerClient } from './types';

/** Time that a runner has to answer a check, in milliseconds: reports are answered at once, even by full runners. */
const ANSWER_MS = 400;

/** What the checks of a runner that failed a request find. */
export type CheckOutcome = 'silent' | 'answered';

/** Dependencies of the checks. */
export interface SilentRunnersContext {
  readonly runners: Pick<RunnerClient, 'report'>;
  /** Time until a runner that did not answer is checked again, in milliseconds. */
  readonly recheckMs: number;
  /** The listed runner with an id; undefined if it is gone. */
  readonly find: (service: string, id: string) => Runner | undefined;
  /** Called for each check that a runner did not answer, and when such a runner answers, also late. */
  readonly onChecked: (now: number, service: string, runner: string, outcome: CheckOutcome) => void;
  readonly log: Logger;
}

/** Checks runners until they answer or are gone. */
export class SilentRunners {
  readonly #context: SilentRunnersContext;

  /** Runners that are checked at the moment, and whether they have missed a check. */
  readonly #checked = new Map<string, { isSilent: boolean }>();

  #isStopped = false;

  constructor(context: SilentRunnersContext) {
    this.#context = context;
  }

  /** Runners that have not answered. */
  get silent(): readonly string[] {
    return [...this.#checked].filter(([, { isSilent }]) => isSilent).map(([id]) => id);
  }

  /** Ends all checks. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Checks a runner; does nothing while it is checked already. */
  check(service: string, id: string): void {
    if (this.#checked.has(id)) return;
    this.#checked.set(id, { isSilent: false });
    this.#checkOnce(service, id);
  }

  #checkOnce(service: string, id: string): void {
    const { find, log } = this.#context;
    const runner = find(service, id);
    if (!runner || this.#isStopped) {
      this.#checked.delete(id);
      return;
    }
    const record = this.#checked.get(id);
    this.#answers(service, runner)
      .then((hasAnswered) => {
        // An earlier check was answered late meanwhile.
        if (this.#checked.get(id) !== record) return;
        if (hasAnswered) this.#onAnswer(service, id);
        else this.#onSilence(service, id);
      })
      .catch((error) => log.error(toFailure(error).line));
  }

  #onAnswer(service: string, runner: string): void {
    const { onChecked, log } = this.#context;
    const isSilent = this.#checked.get(runner)?.isSilent;
    this.#checked.delete(runner);
    if (!isSilent || this.#isStopped) return;
    log.info({ service, runner }, 'A runner answers again.');
    onChecked(performance.now(), service, runner, 'answered');
  }

  #onSilence(service: string, id: string): void {
    const { recheckMs, onChecked, log } = this.#context;
    const record = this.#checked.get(id);
    if (!record) return;
    if (!record.isSilent) {
      record.isSilent = true;
      log.info({ service, runner: id }, 'A runner does not answer.');
    }
    onChecked(performance.now(), service, id, 'silent');
    setTimeout(() => {
      if (this.#checked.get(id) === record) this.#checkOnce(service, id);
    }, recheckMs).unref();
  }

  /** Whether a runner answers with a report in time; a late answer ends its silence as well. */
  #answers(service: string, runner: Runner): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), ANSWER_MS).unref();
      this.#context.runners
        .report(runner)
        .then(() => {
          resolve(true);
          if (this.#checked.get(runner.id)?.isSilent) this.#onAnswer(service, runner.id);
        })
        .catch(() => resolve(false))
        .finally(() => clearTimeout(timer));
    });
  }
}

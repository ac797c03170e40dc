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

/** Dependencies of the checks. */
export interface SilentRunnersContext {
  readonly runners: Pick<RunnerClient, 'report'>;
  /** Time until a runner that did not answer is checked again, in milliseconds. */
  readonly recheckMs: number;
  /** The listed runner with an id; undefined if it is gone. */
  readonly find: (service: string, id: string) => Runner | undefined;
  /** Called for each check that a runner did not answer. */
  readonly onSilent: (now: number, service: string, runner: string) => void;
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
    this.#answers(runner)
      .then((hasAnswered) => {
        if (hasAnswered) this.#onAnswer(service, id);
        else this.#onSilence(service, id);
      })
      .catch((error) => log.error(toFailure(error).line));
  }

  #onAnswer(service: string, runner: string): void {
    const { log } = this.#context;
    if (this.#checked.get(runner)?.isSilent) {
      log.info({ service, runner }, 'A runner answers again.');
    }
    this.#checked.delete(runner);
  }

  #onSilence(service: string, id: string): void {
    const { recheckMs, onSilent, log } = this.#context;
    const record = this.#checked.get(id);
    if (record && !record.isSilent) {
      record.isSilent = true;
      log.info({ service, runner: id }, 'A runner does not answer.');
    }
    onSilent(performance.now(), service, id);
    setTimeout(() => this.#checkOnce(service, id), recheckMs).unref();
  }

  /** Whether a runner answers with a report in time. */
  #answers(runner: Runner): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), ANSWER_MS).unref();
      this.#context.runners
        .report(runner)
        .then(() => resolve(true))
        .catch(() => resolve(false))
        .finally(() => clearTimeout(timer));
    });
  }
}

/** Trials: requests with a prompt part under which runners crashed run one at a time, as long as it is open whether the part is the cause. */

/** Time after which a trial without a result makes way for another one, in milliseconds: prefill, first output, and the time after which a run is found sound. */
const TRIAL_MS = 4000;
/** Maximum number of parts on trial. */
const MAX_TRIALS = 256;

interface Trial {
  readonly request: string;
  readonly until: number;
}

/** The trials of a service, kept by its owner. */
export class Trials {
  readonly #running = new Map<string, Trial>();

  /**
   * Begins the trial of a request, unless another one is on trial with one of its fingerprints.
   * Returns whether it may run.
   */
  tryBegin(now: number, request: string, fingerprints: readonly string[]): boolean {
    for (const [fingerprint, { until }] of this.#running) {
      if (until <= now) this.#running.delete(fingerprint);
    }
    const isTaken = fingerprints.some((one) => {
      const trial = this.#running.get(one);
      return trial !== undefined && trial.request !== request;
    });
    if (isTaken || this.#running.size + fingerprints.length > MAX_TRIALS) return false;
    for (const one of fingerprints) this.#running.set(one, { request, until: now + TRIAL_MS });
    return true;
  }

  /** Ends the trial of a request that ended without a result. */
  withdraw(request: string): void {
    for (const [fingerprint, trial] of this.#running) {
      if (trial.request === request) this.#running.delete(fingerprint);
    }
  }

  /** Ends the trial of a fingerprint: a crash or a completion is its result. */
  end(fingerprint: string): void {
    this.#running.delete(fingerprint);
  }
}

/** Ejection of failing runners (outlier ejection), with a single probe before they get full work again. */

/** Read-only view of which runners may take work. */
export interface Health {
  /** Whether a runner may get another request now. */
  allows(now: number, runner: string): boolean;
}

interface HealthRecord {
  /** Consecutive failures. */
  failures: number;
  /** End of the ejection; 0 if the runner is not ejected. */
  ejectedUntil: number;
  /** Consecutive ejections, for the exponential back-off. */
  ejections: number;
  /** Whether the probe after an ejection is in progress. */
  probing: boolean;
}

/** Consecutive failures that eject a runner. */
const FAILURES_TO_EJECT = 3;
/** Duration of the first ejection, in milliseconds; it doubles with each further one. */
const FIRST_EJECTION_MS = 1000;
/** Maximum duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 30_000;
/**
 * Maximum fraction of a pool that may be ejected at the same time. When a whole failure
 * domain fails, ejecting all of its runners would turn a partial failure into a total one.
 */
const MAX_EJECTED_FRACTION = 0.5;

/** Counts consecutive failures per runner and ejects runners that fail repeatedly. */
export class RunnerHealth implements Health {
  readonly #records = new Map<string, HealthRecord>();

  #poolSize = 0;

  /** Sets the number of runners of the pool, which bounds the number of ejections. */
  setPoolSize(size: number): void {
    this.#poolSize = size;
  }

  allows(now: number, runner: string): boolean {
    const record = this.#records.get(runner);
    if (!record || record.ejectedUntil === 0) return true;
    return now >= record.ejectedUntil && !record.probing;
  }

  /** Records that work was sent to a runner. After an ejection this is its single probe. */
  recordDispatch(now: number, runner: string): void {
    const record = this.#records.get(runner);
    if (record && record.ejectedUntil > 0 && now >= record.ejectedUntil) record.probing = true;
  }

  /** Records a request whose end says nothing about the runner, so that another probe may be sent. */
  recordInconclusive(runner: string): void {
    const record = this.#records.get(runner);
    if (record) record.probing = false;
  }

  /** Records a success, which ends the ejection of the runner. */
  recordSuccess(runner: string): void {
    this.#records.delete(runner);
  }

  /**
   * Records a failure, and ejects the runner after several consecutive ones. Requests that a runner
   * has at the same time fail together: those while it is ejected say nothing new.
   */
  recordFailure(now: number, runner: string): void {
    const record = this.#records.get(runner) ?? {
      failures: 0,
      ejectedUntil: 0,
      ejections: 0,
      probing: false,
    };
    this.#records.set(runner, record);
    if (now < record.ejectedUntil) return;
    record.failures += 1;
    record.probing = false;
    if (record.failures < FAILURES_TO_EJECT || !this.#mayEject(now)) return;
    record.ejectedUntil =
      now + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** record.ejections);
    record.ejections += 1;
  }

  #mayEject(now: number): boolean {
    let ejected = 0;
    for (const record of this.#records.values()) if (record.ejectedUntil > now) ejected += 1;
    return ejected + 1 <= this.#poolSize * MAX_EJECTED_FRACTION;
  }
}

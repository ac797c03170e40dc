/** Ejection of failing runners, with probes before they get full work again. */

/** Read-only view of which runners may take work. */
export interface Health {
  /** Whether a runner may get one more request now. */
  allows(now: number, runner: string): boolean;
}

interface Standing {
  failures: number;
  ejectedUntil: number;
  /** Ejections in a row, for the back-off. */
  ejections: number;
  probing: boolean;
}

/** Failures in a row that eject a runner. */
const FAILURES_TO_EJECT = 3;
/** First ejection in milliseconds; doubles each time. */
const EJECTION_MS = 1000;
/** Longest ejection in milliseconds. */
const EJECTION_LIMIT_MS = 30_000;
/**
 * Most of a pool that may be ejected at once. When a whole failure domain goes,
 * ejecting all would turn a partial failure into a total one.
 */
const EJECTED_SHARE = 0.5;

/** Counts failures in a row by runner. */
export class RunnerHealth implements Health {
  readonly #records = new Map<string, Standing>();

  #pool = 0;

  setPoolSize(size: number): void {
    this.#pool = size;
  }

  allows(now: number, runner: string): boolean {
    const record = this.#records.get(runner);
    if (!record || record.ejectedUntil === 0) return true;
    return now >= record.ejectedUntil && !record.probing;
  }

  /** Notes that a runner was given work: after an ejection this is the one probe. */
  recordDispatch(now: number, runner: string): void {
    const record = this.#records.get(runner);
    if (record && record.ejectedUntil > 0 && now >= record.ejectedUntil) record.probing = true;
  }

  /** A request that ended without telling anything of the runner makes room for another probe. */
  recordInconclusive(runner: string): void {
    const record = this.#records.get(runner);
    if (record) record.probing = false;
  }

  recordSuccess(runner: string): void {
    this.#records.delete(runner);
  }

  recordFailure(now: number, runner: string): void {
    const record = this.#records.get(runner) ?? {
      failures: 0,
      ejectedUntil: 0,
      ejections: 0,
      probing: false,
    };
    this.#records.set(runner, record);
    record.failures += 1;
    record.probing = false;
    if (record.failures < FAILURES_TO_EJECT || !this.#mayEject(now)) return;
    record.ejectedUntil = now + Math.min(EJECTION_LIMIT_MS, EJECTION_MS * 2 ** record.ejections);
    record.ejections += 1;
  }

  #mayEject(now: number): boolean {
    let ejected = 0;
    for (const record of this.#records.values()) if (record.ejectedUntil > now) ejected += 1;
    return ejected + 1 <= this.#pool * EJECTED_SHARE;
  }
}

/** Usual response times of a plain service. */

/** Weight of a new response time in the mean. */
const NEW_WEIGHT = 0.05;

/** Lower bound of a response time, in milliseconds, since expected times are divided by it. */
const MIN_MS = 1;

class MovingMean {
  #value = 0;

  #count = 0;

  get value(): number | undefined {
    return this.#count === 0 ? undefined : this.#value;
  }

  add(value: number): void {
    this.#count += 1;
    this.#value += (Math.max(MIN_MS, value) - this.#value) * Math.max(NEW_WEIGHT, 1 / this.#count);
  }
}

/** Moving means of the time that requests run at usual speed, in milliseconds. */
export class UsualTimes {
  readonly #routes = new Map<string, MovingMean>();

  readonly #all = new MovingMean();

  /** Records the time that a request of a route took, divided by the slowness of its runner. */
  observe(route: string, ms: number): void {
    const mean = this.#routes.get(route) ?? new MovingMean();
    this.#routes.set(route, mean);
    mean.add(ms);
    this.#all.add(ms);
  }

  /** Records the usual time of a request of another VM. */
  observeOther(ms: number): void {
    this.#all.add(ms);
  }

  /** Usual time of a route; the default is used before the first response. */
  of(route: string, defaultMs: number): number {
    return this.#routes.get(route)?.value ?? this.#all.value ?? defaultMs;
  }

  /** Mean over all requests of the service; undefined before the first. */
  get mean(): number | undefined {
    return this.#all.value;
  }
}

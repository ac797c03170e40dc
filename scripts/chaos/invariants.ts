/** Counts how often each invariant was tried, held and broken. */

/** The invariants of the brief, as this run can check them. */
export const invariants = {
  memory: 'no engine memory stays held by a request whose caller is gone',
  once: 'a finished request is answered once and with its own whole answer',
  lost: 'a keyed request gets its whole answer in the end',
  notRun: 'a refusal that says "not run" is true',
  atMostOnce: 'a non-idempotent call runs at most once',
  settings: 'an accepted configuration is in force everywhere and never reverts',
  account: 'no scheduler counted a slot twice or lost one',
} as const;

/** Name of an invariant. */
export type Invariant = keyof typeof invariants;

const EXAMPLES = 3;

/** The book of tries. */
export class InvariantRecorder {
  readonly #tried = new Map<Invariant, number>();

  readonly #broken = new Map<Invariant, string[]>();

  /** Notes one try; `detail` says what was seen when it did not hold. */
  check(invariant: Invariant, held: boolean, detail: () => string): void {
    this.#tried.set(invariant, (this.#tried.get(invariant) ?? 0) + 1);
    if (!held) this.#broken.set(invariant, [...(this.#broken.get(invariant) ?? []), detail()]);
  }

  /** Prints a line for each invariant; true if all were tried and held. */
  print(): boolean {
    let whole = true;
    for (const name of Object.keys(invariants) as Invariant[]) {
      const tried = this.#tried.get(name) ?? 0;
      const broken = this.#broken.get(name) ?? [];
      if (tried === 0 || broken.length > 0) whole = false;
      console.log(
        `${name.padEnd(11)} tried ${tried}, held ${tried - broken.length}, broken ${broken.length}: ${invariants[name]}`,
      );
      for (const line of broken.slice(0, EXAMPLES)) console.log(`    ${line}`);
    }
    return whole;
  }
}

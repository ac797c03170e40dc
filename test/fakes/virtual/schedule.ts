/** Runs tasks at virtual times, from a binary heap with FIFO order at equal times. */

interface Task {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

function isBefore(a: Task, b: Task): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Tasks ordered by virtual time. */
export class Schedule {
  readonly #heap: Task[] = [];

  #order = 0;

  #now = 0;

  /** Time of the last task that was started, in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Schedules a task at a time, in milliseconds. */
  add(at: number, run: () => void): void {
    this.#order += 1;
    this.#heap.push({ at, order: this.#order, run });
    this.#up(this.#heap.length - 1);
  }

  /** Time of the next task; Infinity if there is none. */
  next(): number {
    return this.#heap[0]?.at ?? Infinity;
  }

  /** Runs the next task; does nothing if there is none. */
  run(): void {
    const [first] = this.#heap;
    const last = this.#heap.pop();
    if (!first || !last) return;
    this.#now = first.at;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#down(0);
    }
    first.run();
  }

  #up(from: number): void {
    let i = from;
    while (i > 0) {
      const parent = Math.floor((i - 1) / 2);
      if (!this.#swapIfBefore(i, parent)) return;
      i = parent;
    }
  }

  #down(from: number): void {
    let i = from;
    for (;;) {
      const left = 2 * i + 1;
      if (left >= this.#heap.length) return;
      const right = left + 1;
      const rightFirst = right < this.#heap.length && isBefore(this.#at(right), this.#at(left));
      const child = rightFirst ? right : left;
      if (!this.#swapIfBefore(child, i)) return;
      i = child;
    }
  }

  #at(i: number): Task {
    return this.#heap[i] as Task;
  }

  #swapIfBefore(i: number, j: number): boolean {
    if (!isBefore(this.#at(i), this.#at(j))) return false;
    [this.#heap[i], this.#heap[j]] = [this.#at(j), this.#at(i)];
    return true;
  }
}

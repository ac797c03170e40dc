/**
 * What an owner granted and refused to each customer, counted by window for the log. It is counted
 * for each request, so a record holds a few sums; records exist only for customers that asked
 * within the last window.
 */

/** Sums of one window of one customer, in the quota's unit. */
export interface WindowTally {
  readonly subject: string;
  /** Length of the window in milliseconds. */
  readonly ms: number;
  readonly asked: number;
  readonly granted: number;
  readonly refused: number;
  /** Number of refused requests. */
  readonly refusals: number;
  /** What the owner could have granted in a window, by the last request. */
  readonly limit: number;
}

interface OpenWindow {
  readonly since: number;
  asked: number;
  granted: number;
  refusals: number;
  limit: number;
}

/** Counts the windows of all customers of one owner. */
export class QuotaTallies {
  readonly #windowMs: number;

  readonly #open = new Map<string, OpenWindow>();

  /** @param windowMs length of a window in milliseconds */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * Counts one request.
   * @param limit what the owner may grant in a window
   */
  record(now: number, subject: string, size: number, isGranted: boolean, limit: number): void {
    let window = this.#open.get(subject);
    if (!window) {
      window = { since: now, asked: 0, granted: 0, refusals: 0, limit };
      this.#open.set(subject, window);
    }
    window.asked += size;
    window.limit = limit;
    if (isGranted) window.granted += size;
    else window.refusals += 1;
  }

  /** Closes the windows that have ended and returns those in which something was refused. */
  close(now: number): readonly WindowTally[] {
    const tallies: WindowTally[] = [];
    for (const [subject, { since, asked, granted, refusals, limit }] of this.#open) {
      const ms = now - since;
      if (ms >= this.#windowMs) {
        this.#open.delete(subject);
        const refused = asked - granted;
        if (refusals > 0) tallies.push({ subject, ms, asked, granted, refused, refusals, limit });
      }
    }
    return tallies;
  }
}

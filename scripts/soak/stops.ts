/** Checks that requests around a planned stop of a VM get complete answers. */

import type { CallerAnswer } from './callers';
import type { SentRequest } from './requests';

/** What runners did for a request. */
export interface RunnerWork {
  /** Whether a runner was sent the request. */
  readonly wasPassedOn: boolean;
  /** When a runner last worked on it, in epoch milliseconds; -Infinity if none did. */
  readonly lastAtWorkAt: number;
  /** Whether a runner ended or was restarted while it worked on it. */
  readonly hasBrokenOff: boolean;
}

/** Time between the signal and the kill of a VM. */
export interface StopBounds {
  readonly graceMs: number;
}

/** Time after the grace period for which a VM counts as stopping. */
const AFTER_GRACE_MS = 1000;
/** Time after the last byte of a request from which on it counts as read although no runner got it. */
const UNREAD_MS = 200;
/** Time after the signal up to which a caller may hold the address of the VM. */
const ADDRESSED_MS = 3000;
/** The VM and the runner count the time of a request from when they get it, and end it slightly sooner. */
const TIME_SLACK_MS = 200;
/** Last part of the grace period in which runners may still be at work. */
const LAST_PART = 1 / 6;
/** Time without unplanned faults before a request is sent from which on it is checked. */
const STABLE_MS = 3000;

/** Requests that end while their VM stops. */
export class StopChecker {
  readonly #graceMs: number;

  /** When each VM got its first SIGTERM, by address. */
  readonly #stoppedAt = new Map<string, number>();

  #ended = 0;

  #excused = 0;

  #lost = 0;

  constructor({ graceMs }: StopBounds) {
    this.#graceMs = graceMs;
  }

  /** A process of a VM gets its first SIGTERM. */
  stopping(now: number, vm: string): void {
    this.#stoppedAt.set(vm, now);
  }

  /**
   * Counts the end of an attempt; returns what is wrong, and undefined if nothing is.
   * @param faultFreeMs time since the last unplanned fault
   */
  answered(
    now: number,
    sentAt: number,
    { request, vm }: { readonly request: SentRequest; readonly vm: string },
    answer: CallerAnswer,
    work: RunnerWork,
    faultFreeMs: number,
  ): string | undefined {
    const stoppedAt = this.#stoppedAt.get(vm) ?? Infinity;
    const isAround = now >= stoppedAt && now <= stoppedAt + this.#graceMs + AFTER_GRACE_MS;
    const isUndisturbed = faultFreeMs >= now - sentAt + STABLE_MS;
    if (!isAround || !isUndisturbed || answer.outcome === 'left') return undefined;
    const wasRead = work.wasPassedOn || (answer.sinceSentMs ?? 0) > UNREAD_MS;
    if (!wasRead) return undefined;
    this.#ended += 1;
    if (answer.outcome !== 'broken') return undefined;
    const wasAtWork = work.lastAtWorkAt >= stoppedAt + this.#graceMs * (1 - LAST_PART);
    const isAllowed = wasAtWork && sentAt <= stoppedAt + ADDRESSED_MS;
    const hasTimedOut = answer.ms >= request.deadlineMs - TIME_SLACK_MS;
    if (isAllowed || work.hasBrokenOff || hasTimedOut) {
      this.#excused += 1;
      return undefined;
    }
    this.#lost += 1;
    const sent = `${request.kind} of ${request.events} events, sent at ${sentAt - stoppedAt} ms`;
    const after = `at ${now - stoppedAt} ms, status ${answer.status}, after ${answer.newEvents} events`;
    const atWork = Math.round(work.lastAtWorkAt - stoppedAt);
    return `${request.id} at ${vm}, SIGTERM ${stoppedAt}: ${sent}, broke off ${after}, at work until ${atWork}`;
  }

  /**
   * Whether a VM is about to end as planned: in the last part of its grace period or shortly after it.
   * @param vm its address; undefined for any VM
   */
  isEnding(now: number, vm?: string): boolean {
    return [...this.#stoppedAt].some(([address, at]) => {
      const isMeant = vm === undefined || vm === address;
      const begins = at + this.#graceMs * (1 - LAST_PART);
      return isMeant && now >= begins && now <= at + this.#graceMs + AFTER_GRACE_MS;
    });
  }

  /** Requests that ended while their VM stopped, those that broke off as allowed, and those that were lost. */
  get counts(): Readonly<Record<string, number>> {
    return { ended: this.#ended, excused: this.#excused, lost: this.#lost };
  }
}

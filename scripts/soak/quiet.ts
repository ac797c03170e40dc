/** Checks that no answer ends because a sound runner is silent for a while. */

import type { CallerAnswer } from './callers';
import type { SentRequest } from './requests';
import type { RunnerRole } from './work';
import type { SilenceLog } from './silences';

/** What a request had to do with one runner. */
interface Contact {
  readonly runnerId: string;
  readonly role: RunnerRole | undefined;
  /** When the request reached the runner, or its link held it. */
  readonly since: number;
  /** When the runner's work on it ended; infinite before. */
  readonly until: number;
}

/** A silence that a request met. */
interface MetSilence extends Contact {
  /** Time for which the runner was silent meanwhile. */
  readonly silentMs: number;
}

/** Dependencies of the check. */
export interface QuietContext {
  readonly log: SilenceLog;
  /**
   * Whether no fault acted on the VM of a request, on its runners or the store, from some time before it
   * was sent until now.
   */
  readonly isUndisturbed: (vm: string, runnerIds: readonly string[], sentAt: number) => boolean;
  /** Whether the VM is partitioned from all runners, so that others forward its requests. */
  readonly isForwarded: (vm: string) => boolean;
}

/** What was observed of the attempt that ended. */
export interface EndedAttempt {
  readonly request: SentRequest;
  readonly vm: string;
  readonly sentAt: number;
  /** Number of its runs, without prefills. */
  readonly runs: number;
  /** Whether a runner ended or was restarted while it worked on it. */
  readonly hasBrokenOff: boolean;
  /** Whether the VM was about to end, as planned. */
  readonly isEndOfStop: boolean;
}

/** The VM and the runner count the time of a request from when they get it, and end it slightly sooner. */
const TIME_SLACK_MS = 200;
const SERVER_ERROR = 500;

/** Requests whose runners were silent. */
export class QuietChecker {
  readonly #context: QuietContext;

  /** By the id of the request, then of the runner. */
  readonly #contacts = new Map<string, Map<string, Contact>>();

  readonly #counts = new Map<string, Record<string, number>>();

  constructor(context: QuietContext) {
    this.#context = context;
  }

  /** The link of a runner holds a request. */
  held(now: number, requestId: string, runnerId: string): void {
    this.#contact(now, requestId, runnerId, undefined);
  }

  /** A request reaches a runner. */
  arrived(now: number, requestId: string, runnerId: string, role: RunnerRole): void {
    this.#contact(now, requestId, runnerId, role);
  }

  /** A runner has ended its work on a request. */
  worked(now: number, requestId: string, runnerId: string): void {
    const contacts = this.#contacts.get(requestId);
    const contact = contacts?.get(runnerId);
    if (contact) contacts?.set(runnerId, { ...contact, until: now });
  }

  /** Counts the end of an attempt; returns what is wrong, and undefined if nothing is. */
  answered(now: number, attempt: EndedAttempt, answer: CallerAnswer): string | undefined {
    const { request, vm, sentAt } = attempt;
    const contacts = [...(this.#contacts.get(request.id)?.values() ?? [])];
    this.#contacts.delete(request.id);
    const met = contacts
      .map((contact) => this.#met(now, contact))
      .filter(({ silentMs }) => silentMs > 0);
    const [last] = met.sort((a, b) => b.since - a.since);
    if (!last) return undefined;
    const runnerIds = contacts.map(({ runnerId }) => runnerId);
    const isForwarded = this.#context.isForwarded(vm);
    const kind = `${request.kind}${request.resumes ? ' resumed' : ''}${isForwarded ? ' forwarded' : ''}`;
    const isUndisturbed = this.#context.isUndisturbed(vm, runnerIds, sentAt);
    const ending = endingOf(attempt, answer, isUndisturbed);
    this.#count(kind, ending);
    if (ending !== 'broken') return undefined;
    const { runs, isEndOfStop } = attempt;
    const where = `${request.id} (${kind}, run ${runs}${isEndOfStop ? ', VM ends' : ''}) at ${vm}`;
    const silence = `${last.role ?? 'held by'} ${last.runnerId} silent for ${last.silentMs} ms`;
    const end = `${answer.newEvents} events of ${request.events}, ${answer.outcome} with ${answer.status} after ${Math.round(answer.ms)} ms`;
    return `${where}: ${silence}, ${end}`;
  }

  /** Forgets what a request had to do with runners. */
  forget(requestId: string): void {
    this.#contacts.delete(requestId);
  }

  /** Attempts whose runners were silent, by kind and ending. */
  get counts(): Readonly<Record<string, unknown>> {
    return { silences: this.#context.log.count, ...Object.fromEntries(this.#counts) };
  }

  #contact(now: number, requestId: string, runnerId: string, role: RunnerRole | undefined): void {
    const contacts = this.#contacts.get(requestId) ?? new Map<string, Contact>();
    const { since = now, role: known } = contacts.get(runnerId) ?? {};
    contacts.set(runnerId, { runnerId, role: role ?? known, since, until: Infinity });
    this.#contacts.set(requestId, contacts);
  }

  /** The silence that a request met while a runner worked on it, up to now. */
  #met(now: number, contact: Contact): MetSilence {
    const { runnerId, since, until } = contact;
    const { log } = this.#context;
    const isMet = log.heldMs(since, Math.min(now, until), runnerId) > 0;
    return { ...contact, silentMs: isMet ? Math.round(log.heldMs(since, now, runnerId)) : 0 };
  }

  #count(kind: string, ending: string): void {
    const counts = this.#counts.get(kind) ?? {};
    counts[ending] = (counts[ending] ?? 0) + 1;
    this.#counts.set(kind, counts);
  }
}

function endingOf(attempt: EndedAttempt, answer: CallerAnswer, isUndisturbed: boolean): string {
  const { outcome, status, ms } = answer;
  const isCut = outcome === 'broken' || (outcome === 'failed' && status >= SERVER_ERROR);
  if (!isCut) return outcome;
  if (ms >= attempt.request.deadlineMs - TIME_SLACK_MS) return 'timed out';
  const isExcused = attempt.hasBrokenOff || attempt.isEndOfStop || !isUndisturbed;
  return isExcused ? 'excused' : 'broken';
}

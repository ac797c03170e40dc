/** Queue controller: admits requests and refuses them as soon as they cannot be served in time. */

import { match } from 'ts-pattern';

import type { CodeName } from '../codes';
import { uncachedTokens } from '../prefix';
import type { Admission, AdmissionDecision } from './admission';
import { bestHitBlocks, jitter } from './admission';
import type { CellState } from './state';
import { RESUME_QUEUE } from './state';
import type { Entry } from './entry';
import { newEntry } from './entry';
import type { Arrival } from './types';
import { fingerprintsOf } from './types';

/** Retry delay of a request that may only run alone while another one does, in milliseconds. */
const TRIAL_RETRY_MS = 1000;

/** The decision not to admit a request. */
type Refusal = Extract<AdmissionDecision, { readonly admitted: false }>;

/** Time that a resumed request may wait in the queue, in milliseconds. */
const RESUME_WAIT_MS = 20_000;

/** Adds requests to the queue and removes those that become unservable. */
export class QueueController {
  readonly #state: CellState;

  readonly #admission: Admission;

  /** Earliest time at which a queued request becomes unservable. */
  #nextUnservableAt = Infinity;

  constructor(state: CellState, admission: Admission) {
    this.#state = state;
    this.#admission = admission;
  }

  /** Earliest time at which a queued request becomes unservable; Infinity if none is queued. */
  get nextUnservableAt(): number {
    return this.#nextUnservableAt;
  }

  /** Admits a new request to the queue or refuses it. */
  arrive(now: number, arrival: Arrival): void {
    const state = this.#state;
    const known = state.requests.get(arrival.id);
    if (known) {
      this.#handleRepeatedArrival(now, known);
      return;
    }
    state.counters.arrived += 1;
    const decision = this.#decide(now, arrival);
    if (!decision.admitted) {
      state.counters.refused += 1;
      const { code, retryAfterMs } = decision;
      state.emit({ kind: 'refuse', id: arrival.id, code, notRun: true, retryAfterMs });
      return;
    }
    state.budget.earn(arrival.team);
    const entry = newEntry(arrival, now);
    entry.forecastMs = decision.forecastMs;
    entry.hitBlocks = bestHitBlocks(state, arrival.blocks);
    state.requests.set(arrival.id, entry);
    state.waiting.push(arrival.team, entry);
    this.#updateNextUnservable(entry);
  }

  /** A request like those that crashed engines is refused regardless of free capacity. */
  #decide(now: number, arrival: Arrival): AdmissionDecision {
    return this.#screen(now, arrival) ?? this.#admission.decide(now, this.#state, arrival);
  }

  /** Why a request must not run, as far as crashes of engines are known; undefined if it may. */
  #screen(now: number, arrival: Arrival): Refusal | undefined {
    const { quarantine, trials } = this.#state;
    const verdict = quarantine.verdict(now, fingerprintsOf(arrival));
    return match(verdict)
      .returnType<Refusal | undefined>()
      .with({ kind: 'allowed' }, () => undefined)
      .with({ kind: 'refused' }, ({ forMs }) => ({
        admitted: false,
        code: 'quarantined',
        retryAfterMs: forMs,
      }))
      .with({ kind: 'trial' }, ({ fingerprints }) =>
        trials.tryBegin(now, arrival.id, fingerprints)
          ? undefined
          : { admitted: false, code: 'onTrial', retryAfterMs: TRIAL_RETRY_MS },
      )
      .exhaustive();
  }

  /** Refuses queued and prefilled requests that must not run any more, since engines have crashed. */
  refuseScreened(now: number): void {
    const { requests } = this.#state;
    const pending = [...requests.values()].filter(
      ({ stage }) => stage === 'queued' || stage === 'prefilled',
    );
    for (const entry of pending) {
      const refusal = this.#screen(now, entry.arrival);
      if (refusal) this.refuse(now, entry, refusal.code);
    }
  }

  /** Puts a request back at the head of its queue if the retry budget allows it; refuses it otherwise. */
  retry(now: number, entry: Entry): void {
    const state = this.#state;
    const refusal = this.#screen(now, entry.arrival);
    if (refusal) {
      this.refuse(now, entry, refusal.code);
      return;
    }
    if (!state.budget.spend(entry.arrival.team)) {
      this.refuse(now, entry, 'retriesSpent');
      return;
    }
    state.counters.retries += 1;
    entry.stage = 'queued';
    entry.since = now;
    if (entry.resumedTokens > 0) {
      entry.arrival = { ...entry.arrival, deadline: now + RESUME_WAIT_MS };
      state.waiting.unshift(RESUME_QUEUE, entry);
    } else {
      state.waiting.unshift(entry.arrival.team, entry);
    }
    this.#updateNextUnservable(entry);
  }

  /** Refuses and removes a request. The refusal says "not run" only if the request was never sent to a runner. */
  refuse(now: number, entry: Entry, code: CodeName): void {
    const state = this.#state;
    state.counters.refused += 1;
    const { id } = entry.arrival;
    const retryAfterMs = jitter(id, state.meanPrefillMs);
    state.emit({ kind: 'refuse', id, code, notRun: !entry.sent, retryAfterMs });
    state.remove(now, entry);
  }

  /** Refuses queued requests that can no longer get their first token by the deadline. */
  refuseUnservable(now: number): void {
    if (now < this.#nextUnservableAt) return;
    const state = this.#state;
    const unservable = state.waiting.removeWhere((entry) => now >= this.#unservableFrom(entry));
    for (const entry of unservable) {
      // The first token would have been later than the deadline. Observing only first tokens that were delivered would underestimate the lateness.
      if (!entry.sent) {
        state.margins.observe(
          entry.arrival.team,
          entry.forecastMs,
          entry.arrival.deadline - entry.arrivedAt,
        );
      }
      this.refuse(now, entry, entry.sent ? 'timedOut' : 'deadlineUnreachable');
    }
    this.#nextUnservableAt = Infinity;
    for (const entry of state.requests.values()) {
      if (entry.stage === 'queued') this.#updateNextUnservable(entry);
    }
  }

  /** Repeats the last action of a request, whose message was lost with a connection. */
  resendAction({ arrival: { id }, stage, prefillRunner, decodeRunner }: Entry): void {
    if (prefillRunner === undefined) return;
    if (stage === 'prefilling') this.#state.emit({ kind: 'prefill', id, runner: prefillRunner });
    if (stage === 'transferring' && decodeRunner !== undefined) {
      this.#state.emit({ kind: 'decode', id, runner: decodeRunner, source: prefillRunner });
    }
  }

  /**
   * Handles a repeated arrival: the gateway has no assignment for the request, because
   * a message in either direction was lost with its connection. Unless the request starts
   * over, it would hold its resources here and wait forever.
   */
  #handleRepeatedArrival(now: number, entry: Entry): void {
    if (entry.stage === 'queued') return;
    if (entry.stage === 'prefilling') {
      this.resendAction(entry);
      return;
    }
    this.#state.countWaste(entry);
    this.#state.releaseResources(now, entry);
    this.retry(now, entry);
  }

  #updateNextUnservable(entry: Entry): void {
    this.#nextUnservableAt = Math.min(this.#nextUnservableAt, this.#unservableFrom(entry));
  }

  /** Time from which even an idle cell could not deliver the first token by the deadline. */
  #unservableFrom({ arrival, hitBlocks }: Entry): number {
    const { costs } = this.#state;
    const uncached = uncachedTokens(arrival.promptTokens, hitBlocks);
    const leastMs =
      costs.prefillMs(uncached) + costs.transferMs(arrival.promptTokens) + costs.tokenMs(1);
    return arrival.deadline - leastMs;
  }
}

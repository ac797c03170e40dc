/** Transfer controller: assigns a decode slot and a link to each finished prefill. */

import type { CellBoard } from './board';
import type { Entry } from './entry';
import type { DecodePlace } from './places';
import { avoiding, freeOf } from './places';
import type { Placement } from './placement';

/** Assigns decode slots and links. */
export class TransferController {
  readonly #state: CellBoard;

  readonly #placement: Placement;

  constructor(state: CellBoard, placement: Placement) {
    this.#state = state;
    this.#placement = placement;
  }

  /** Starts all transfers that are possible, the results with the earliest eviction first. */
  sendAll(now: number): void {
    const { prefilled } = this.#state;
    if (prefilled.size === 0) return;
    const byEviction = [...prefilled].sort((a, b) => a.keptUntil - b.keptUntil);
    for (const entry of byEviction) this.#start(now, entry);
  }

  /** Handles the first token of a request: its transfer is complete, so the link is released. */
  started(now: number, id: string): void {
    const state = this.#state;
    const entry = state.requests.get(id);
    if (entry?.stage !== 'transferring') return;
    state.endTransfer(entry);
    if (entry.decodeRunner !== undefined) state.health.succeeded(entry.decodeRunner);
    if (entry.resumedAt === 0) {
      state.margins.observe(entry.arrival.team, entry.forecastMs, now - entry.arrivedAt);
    }
    entry.stage = 'decoding';
    entry.since = now;
    state.decoding.add(entry);
  }

  #start(now: number, entry: Entry): void {
    const state = this.#state;
    const source = state.sourceOf(entry);
    if (!source || state.places.linkBusy(source.runner.link)) return;
    const target = this.#selectRunner(now, entry);
    if (!target) return;
    const { id, promptTokens } = entry.arrival;
    const runner = target.runner.id;
    state.prefilled.delete(entry);
    state.promised -= 1;
    entry.stage = 'transferring';
    entry.since = now;
    entry.decodeRunner = runner;
    entry.batch = target.held + target.foreign + 1;
    state.places.holdSlot(runner, now, promptTokens);
    state.places.holdLink(source.runner.link);
    state.health.given(now, runner);
    state.emit({ kind: 'decode', id, runner, source: source.runner.id });
  }

  #selectRunner(now: number, entry: Entry): DecodePlace | undefined {
    const state = this.#state;
    const needed = entry.arrival.promptTokens + state.outputs.mean;
    const candidates = state.places.decodeRunners.filter(
      (load) =>
        freeOf(load) > 0 &&
        load.heldTokens + needed <= load.runner.memoryTokens &&
        state.health.allows(now, load.runner.id),
    );
    return this.#placement.decode(now, state, entry.arrival, avoiding(candidates, entry.avoid));
  }
}

/** Transfer controller: assigns a decode slot and a link to each finished prefill. */

import type { CellState } from './state';
import type { Entry } from './entry';
import type { DecodeLoad } from './capacity';
import { preferOtherRunners, freeSlotsOf } from './capacity';
import type { Placement } from './placement';

/** Assigns decode slots and links. */
export class TransferController {
  readonly #state: CellState;

  readonly #placement: Placement;

  constructor(state: CellState, placement: Placement) {
    this.#state = state;
    this.#placement = placement;
  }

  /** Starts all transfers that are possible, the results with the earliest eviction first. */
  startAll(now: number): void {
    const { prefilled } = this.#state;
    if (prefilled.size === 0) return;
    const byEviction = [...prefilled].sort((a, b) => a.keptUntil - b.keptUntil);
    for (const entry of byEviction) this.#start(now, entry);
  }

  /** Handles the first token of a request: its transfer is complete, so the link is released. */
  finish(now: number, id: string): void {
    const state = this.#state;
    const entry = state.requests.get(id);
    if (entry?.stage !== 'transferring') return;
    state.endTransfer(entry);
    if (entry.decodeRunner !== undefined) state.health.recordSuccess(entry.decodeRunner);
    if (entry.resumedTokens === 0) {
      state.margins.observe(entry.arrival.team, entry.forecastMs, now - entry.arrivedAt);
    }
    entry.stage = 'decoding';
    entry.since = now;
    state.decoding.add(entry);
  }

  #start(now: number, entry: Entry): void {
    const state = this.#state;
    const source = state.prefillLoadOf(entry);
    if (!source || state.capacity.isLinkBusy(source.runner.link)) return;
    const target = this.#selectRunner(now, entry);
    if (!target) return;
    const { id, promptTokens } = entry.arrival;
    const runner = target.runner.id;
    state.prefilled.delete(entry);
    state.awaitingSlot -= 1;
    entry.stage = 'transferring';
    entry.since = now;
    entry.decodeRunner = runner;
    entry.batch = target.held + target.untracked + 1;
    state.capacity.reserveSlot(runner, now, promptTokens);
    state.capacity.reserveLink(source.runner.link);
    state.health.recordDispatch(now, runner);
    state.emit({ kind: 'decode', id, runner, source: source.runner.id });
  }

  #selectRunner(now: number, entry: Entry): DecodeLoad | undefined {
    const state = this.#state;
    const needed = entry.arrival.promptTokens + state.outputs.mean;
    const candidates = state.capacity.decodeRunners.filter(
      (load) =>
        freeSlotsOf(load) > 0 &&
        load.heldTokens + needed <= load.runner.memoryTokens &&
        state.health.allows(now, load.runner.id),
    );
    return this.#placement.decode(
      now,
      state,
      entry.arrival,
      preferOtherRunners(candidates, entry.lastFailedRunner),
    );
  }
}

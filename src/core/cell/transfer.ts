/** Controller of transfers: gives finished prefills a decode slot and their turn on the link. */

import type { CellState } from './state';
import type { Entry } from './entry';
import type { DecodeLoad } from './capacity';
import { preferOtherRunners, freeSlotsOf } from './capacity';
import type { Placement } from './placement';

/** Writes decode slots and links. */
export class TransferController {
  readonly #board: CellState;

  readonly #placement: Placement;

  constructor(board: CellState, placement: Placement) {
    this.#board = board;
    this.#placement = placement;
  }

  /** Sends what can be sent, the result that is evicted first before the others. */
  startAll(now: number): void {
    const { prefilled } = this.#board;
    if (prefilled.size === 0) return;
    const urgent = [...prefilled].sort((a, b) => a.keptUntil - b.keptUntil);
    for (const entry of urgent) this.#send(now, entry);
  }

  /** The first token is out: the link is free again. */
  finish(now: number, id: string): void {
    const board = this.#board;
    const entry = board.requests.get(id);
    if (entry?.stage !== 'transferring') return;
    board.endTransfer(entry);
    if (entry.decodeRunner !== undefined) board.health.recordSuccess(entry.decodeRunner);
    if (entry.resumedTokens === 0) {
      board.margins.observe(entry.arrival.team, entry.forecastMs, now - entry.arrivedAt);
    }
    entry.stage = 'decoding';
    entry.since = now;
    board.decoding.add(entry);
  }

  #send(now: number, entry: Entry): void {
    const board = this.#board;
    const source = board.prefillLoadOf(entry);
    if (!source || board.capacity.isLinkBusy(source.runner.link)) return;
    const target = this.#choose(now, entry);
    if (!target) return;
    const { id, promptTokens } = entry.arrival;
    const runner = target.runner.id;
    board.prefilled.delete(entry);
    board.awaitingSlot -= 1;
    entry.stage = 'transferring';
    entry.since = now;
    entry.decodeRunner = runner;
    entry.batch = target.held + target.untracked + 1;
    board.capacity.reserveSlot(runner, now, promptTokens);
    board.capacity.reserveLink(source.runner.link);
    board.health.recordDispatch(now, runner);
    board.emit({ kind: 'decode', id, runner, source: source.runner.id });
  }

  #choose(now: number, entry: Entry): DecodeLoad | undefined {
    const board = this.#board;
    const needed = entry.arrival.promptTokens + board.outputs.mean;
    const able = board.capacity.decodeRunners.filter(
      (place) =>
        freeSlotsOf(place) > 0 &&
        place.heldTokens + needed <= place.runner.memoryTokens &&
        board.health.allows(now, place.runner.id),
    );
    return this.#placement.decode(
      now,
      board,
      entry.arrival,
      preferOtherRunners(able, entry.lastFailedRunner),
    );
  }
}

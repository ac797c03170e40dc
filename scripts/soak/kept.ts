/** Checks that a VM keeps connections of callers for as long as it announces. */

import type { CallerAnswer } from './callers';
import type { KeptConnection } from './connections';
import { CALLER_MARGIN_MS } from './connections';

/** Dependencies of the check. */
export interface KeptContext {
  /** Whether the VM at an IP address did not stop and was not killed, frozen or cut off in the last so many milliseconds. */
  readonly isSteady: (ip: string, forMs: number) => boolean;
}

/** Connections that callers keep. */
export class KeptChecker {
  readonly #context: KeptContext;

  readonly #counts = { reused: 0, late: 0, lost: 0, closedEarly: 0, excused: 0 };

  constructor(context: KeptContext) {
    this.#context = context;
  }

  /** Counts the end of an attempt; returns what is wrong, and undefined if nothing is. */
  answered(requestId: string, vm: string, answer: CallerAnswer): string | undefined {
    const { kept, outcome, status, ms } = answer;
    if (!kept) return undefined;
    this.#counts.reused += 1;
    if (kept.idleMs > kept.announcedMs / 2) this.#counts.late += 1;
    if (outcome !== 'broken' || status !== 0) return undefined;
    if (!this.#isSteady(vm.split(':')[0] ?? '', kept.idleMs + ms)) return undefined;
    this.#counts.lost += 1;
    return `${requestId} at ${vm}: closed without an answer after ${Math.round(ms)} ms, on ${textOf(kept)}`;
  }

  /** A VM closes an idle connection; returns what is wrong, and undefined if nothing is. */
  closed(ip: string, kept: KeptConnection): string | undefined {
    const isInTime = kept.idleMs < kept.announcedMs - CALLER_MARGIN_MS;
    if (!isInTime || !this.#isSteady(ip, kept.idleMs)) return undefined;
    this.#counts.closedEarly += 1;
    return `${ip} closed ${textOf(kept)}`;
  }

  /** Requests on kept connections, those in the second half of the announced time, lost ones, and connections that were closed early. */
  get counts(): Readonly<Record<string, number>> {
    return this.#counts;
  }

  #isSteady(ip: string, forMs: number): boolean {
    const isSteady = this.#context.isSteady(ip, forMs);
    if (!isSteady) this.#counts.excused += 1;
    return isSteady;
  }
}

function textOf({ idleMs, announcedMs, after }: KeptConnection): string {
  return `a connection idle for ${Math.round(idleMs)} ms after ${after}, announced for ${announcedMs} ms`;
}

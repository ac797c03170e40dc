/** Silences of sound runners, as planned work: the link of one holds all bytes for a while, and passes them on in order afterwards. */

import { setTimeout as pause } from 'node:timers/promises';

import type { PooledRunner, RunnerPool } from './pool';

/** Name of the kind. */
export const QUIET = 'runner-quiet';

/** Mean time between the beginnings of two silences of one runner. */
const RUNNER_INTERVAL_MS = 20_000;
const MIN_SILENCE_MS = 300;
const MAX_SILENCE_MS = 2000;
/** Time for which silences are remembered. */
const RETENTION_MS = 120_000;

/** A silence, in epoch milliseconds. */
interface Silence {
  readonly from: number;
  readonly to: number;
}

/** Silences so far, by the id of the runner. */
export class SilenceLog {
  readonly #silences = new Map<string, Silence[]>();

  #count = 0;

  /** Number of silences. */
  get count(): number {
    return this.#count;
  }

  /** Records a silence that begins now. */
  add(now: number, runnerId: string, durationMs: number): void {
    const recent = (this.#silences.get(runnerId) ?? []).filter(({ to }) => to > now - RETENTION_MS);
    this.#silences.set(runnerId, [...recent, { from: now, to: now + durationMs }]);
    this.#count += 1;
  }

  /** When the bytes get through that are sent at `now`. */
  passesAt(now: number, runnerId: string): number {
    const silences = this.#silences.get(runnerId) ?? [];
    return silences.find(({ from, to }) => from <= now && now < to)?.to ?? now;
  }

  /** Time between `from` and `to` for which the link of a runner held bytes, in milliseconds. */
  heldMs(from: number, to: number, runnerId: string): number {
    return (this.#silences.get(runnerId) ?? []).reduce(
      (sum, one) => sum + Math.max(0, Math.min(to, one.to) - Math.max(from, one.from)),
      0,
    );
  }
}

/** Dependencies of the silences. */
export interface SilenceContext {
  readonly random: () => number;
  readonly pool: RunnerPool;
  readonly log: SilenceLog;
  /** Whether a fault acts on a runner. */
  readonly isBusy: (runnerId: string) => boolean;
  /** Called when a silence begins; returns what to call when it ends. */
  readonly onSilence: (runnerId: string) => () => void;
  /** Called for each request that is held on its way to a runner. */
  readonly onHeldRequest: (requestId: string, runnerId: string) => void;
}

/** Draws silences, begins them and ends them. Never two of one runner at once. */
export class RunnerSilences {
  readonly #context: SilenceContext;

  readonly #quiet = new Set<PooledRunner>();

  constructor(context: SilenceContext) {
    this.#context = context;
  }

  /** Begins silences until `until` (epoch milliseconds), and waits until they have ended. */
  async run(until: number): Promise<void> {
    const { random, pool } = this.#context;
    const work: Promise<void>[] = [];
    while (Date.now() < until) {
      await pause((RUNNER_INTERVAL_MS / Math.max(1, pool.members.length)) * (0.5 + random()));
      const free = pool.members.filter((member) => this.#isFree(member));
      const member = free[Math.floor(random() * free.length)];
      if (member) work.push(this.#silence(member));
    }
    await Promise.all(work);
  }

  #isFree(member: PooledRunner): boolean {
    const { isUp, runnerId } = member.runner;
    return isUp && !this.#quiet.has(member) && !this.#context.isBusy(runnerId);
  }

  async #silence(member: PooledRunner): Promise<void> {
    const { random, log, onSilence, onHeldRequest } = this.#context;
    const { runner, proxy } = member;
    const { runnerId } = runner;
    const durationMs = MIN_SILENCE_MS + random() * (MAX_SILENCE_MS - MIN_SILENCE_MS);
    this.#quiet.add(member);
    log.add(Date.now(), runnerId, durationMs);
    const onEnd = onSilence(runnerId);
    proxy.hold((bytes) => {
      for (const [, id = ''] of bytes.toString('latin1').matchAll(/\r\nrequest-id: *(\S+)/gi)) {
        onHeldRequest(id, runnerId);
      }
    });
    await pause(durationMs);
    proxy.release();
    this.#quiet.delete(member);
    onEnd();
  }
}

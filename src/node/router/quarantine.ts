/**
 * Keeps this VM's quarantine in step with the fleet: tells other VMs under which
 * requests runners ended, hears of theirs, and has what is refused outlast all VMs
 * in the platform's store.
 */

import type { Logger } from 'pino';

import { Failure, toFailure } from '../../core/failure';
import { TTL_MS, Quarantine } from '../../core/quarantine/quarantine';
import type { Suspect } from '../../core/quarantine/types';
import type { Metrics } from '../metrics';
import type { SuspectArchive } from './types';

/** What the desk works with. */
export interface QuarantineContext {
  readonly archive: SuspectArchive;
  /** Whether this VM reads the store. */
  readonly readsStore: () => boolean;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** To be told to other VMs. */
  readonly onChanges: (suspects: readonly Suspect[]) => void;
  /** What is refused has changed. */
  readonly onRefusedChange: () => void;
}

/** Period of looking at what has run out and what is to be saved, in milliseconds. */
const LOOK_MS = 250;
/** Time in which news is gathered before it is told, in milliseconds: a runner that ends breaks all of its runs off at once. */
const GATHER_MS = 20;
/** Time after which a reader saves what it has not seen in the store, in milliseconds: the VM that found out saves it at once, and a watch tells within a second. */
const SEEN_MS = 2500;
/** Time from one try to save to the next, in milliseconds. */
const SAVE_AGAIN_MS = 1000;

/** Requests that are kept from the runners, at one VM. */
export class QuarantineController {
  readonly #context: QuarantineContext;

  readonly #quarantine = new Quarantine();

  readonly #timer: NodeJS.Timeout;

  /** News that is still to be told, by fingerprint. */
  readonly #fresh = new Map<string, Suspect>();

  /** Fingerprints that were refused when this was looked at last. */
  #refused: ReadonlySet<string> = new Set();

  /** Fingerprints that the store is known to hold. */
  #stored = new Set<string>();

  /** When a request is to be saved, by fingerprint. */
  readonly #saveAt = new Map<string, number>();

  constructor(context: QuarantineContext) {
    this.#context = context;
    this.#timer = setInterval(() => this.#look(performance.now()), LOOK_MS).unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Why a request is to be kept from runners. Default: it is not. */
  refusal(now: number, fingerprint: string): Failure | undefined {
    const retryAfterMs = this.#quarantine.refusedForMs(now, fingerprint);
    if (retryAfterMs === undefined) return undefined;
    const ends = this.#quarantine.crashCount(fingerprint);
    return new Failure('quarantined', `${ends} runners ended under this request`, { retryAfterMs });
  }

  /** A runner ended under a request. Gives the runners that are known to have. */
  crashed(now: number, fingerprint: string, runner: string): number {
    this.#changed(now, this.#quarantine.recordCrash(now, fingerprint, runner), 'own');
    return this.#quarantine.crashCount(fingerprint);
  }

  /** A runner ran a request to a whole answer. */
  completed(now: number, fingerprint: string): void {
    this.#changed(now, this.#quarantine.recordCompletion(now, fingerprint), 'own');
  }

  /** @param source address of the VM that tells, or `store` */
  learn(now: number, suspects: readonly Suspect[], source: string): void {
    for (const suspect of suspects) {
      this.#changed(now, this.#quarantine.apply(now, suspect), source);
    }
  }

  /**
   * The store tells of requests.
   * @param isAll whether it holds no others: what is missing was lost with it, and is saved again
   */
  learnStored(now: number, suspects: readonly Suspect[], isAll: boolean): void {
    if (isAll) this.#stored = new Set();
    for (const { fingerprint } of suspects) this.#stored.add(fingerprint);
    this.learn(now, suspects, 'store');
  }

  /** What is refused in short, for others to compare; empty if nothing is. */
  digest(now: number): string {
    return this.#quarantine.digest(now);
  }

  /** All that is known, for another VM. */
  suspects(now: number): readonly Suspect[] {
    return this.#quarantine.suspects(now);
  }

  /** What is refused, for operators. */
  snapshot(now: number): readonly unknown[] {
    return this.#quarantine.refused(now).map(({ fingerprint, ends }) => ({
      fingerprint,
      runners: ends.map(({ runner }) => runner),
      forMs: Math.round(this.#quarantine.refusedForMs(now, fingerprint) ?? 0),
    }));
  }

  #changed(now: number, news: Suspect | undefined, source: string): void {
    if (!news) return;
    this.#tell(news);
    const { fingerprint } = news;
    const isRefused = this.#quarantine.refusedForMs(now, fingerprint) !== undefined;
    if (isRefused === this.#refused.has(fingerprint)) return;
    if (source === 'own') this.#saveAt.set(fingerprint, now);
    this.#review(now, source);
  }

  #tell(news: Suspect): void {
    if (this.#fresh.size === 0) setTimeout(() => this.#tellAll(), GATHER_MS).unref();
    this.#fresh.set(news.fingerprint, news);
  }

  #tellAll(): void {
    const suspects = [...this.#fresh.values()];
    this.#fresh.clear();
    this.#context.onChanges(suspects);
  }

  #look(now: number): void {
    this.#review(now, 'time');
    if (this.#context.readsStore()) this.#checkStored(now);
    for (const [fingerprint, at] of this.#saveAt) if (now >= at) this.#save(now, fingerprint);
  }

  /** Compares what is refused with what was. */
  #review(now: number, source: string): void {
    const refused = this.#quarantine.refused(now);
    const before = this.#refused;
    this.#refused = new Set(refused.map(({ fingerprint }) => fingerprint));
    const { log, metrics, onRefusedChange: onRefused } = this.#context;
    const begun = refused.filter(({ fingerprint }) => !before.has(fingerprint));
    const over = [...before].filter((fingerprint) => !this.#refused.has(fingerprint));
    for (const { fingerprint, ends } of begun) {
      const runners = ends.map(({ runner }) => runner);
      log.warn({ fingerprint, runners, source, forMs: TTL_MS }, 'Refuses a request.');
    }
    for (const fingerprint of over) log.info({ fingerprint, source }, 'Takes a request again.');
    if (begun.length + over.length === 0) return;
    metrics.gauge('quarantine.requests', this.#refused.size);
    onRefused();
  }

  /** The VM that found out may have died before it saved, and the store may have come back without. */
  #checkStored(now: number): void {
    for (const fingerprint of this.#refused) {
      const isMissing = !this.#stored.has(fingerprint) && !this.#saveAt.has(fingerprint);
      if (isMissing) this.#saveAt.set(fingerprint, now + SEEN_MS);
    }
  }

  #save(now: number, fingerprint: string): void {
    const suspect = this.#quarantine.suspects(now).find((one) => one.fingerprint === fingerprint);
    const isDone = this.#refused.has(fingerprint) && this.#stored.has(fingerprint);
    if (!suspect || isDone) {
      this.#saveAt.delete(fingerprint);
      return;
    }
    this.#saveAt.set(fingerprint, now + SAVE_AGAIN_MS);
    const { archive, log } = this.#context;
    archive
      .save(suspect, TTL_MS)
      .then(() => {
        log.info({ fingerprint }, 'Saved a request that is refused.');
        this.#stored.add(fingerprint);
        this.#saveAt.delete(fingerprint);
      })
      .catch((error) => log.warn({ fingerprint }, toFailure(error).line));
  }
}

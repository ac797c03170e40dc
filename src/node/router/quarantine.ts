/**
 * Replicates the quarantine of requests and prompt parts that crash runners: announces crashes to
 * other VMs, applies theirs, and saves what is in quarantine in the platform's store, where it
 * survives a restart of all VMs.
 */

import type { Logger } from 'pino';

import { toFailure } from '../../core/failure';
import { isPart } from '../../core/fingerprint';
import { Quarantine } from '../../core/quarantine/quarantine';
import { TTL_MS } from '../../core/quarantine/record';
import type { RunnerCrash, Suspect, Verdict } from '../../core/quarantine/types';
import type { Metrics } from '../metrics';
import type { SuspectArchive } from './types';

/** Dependencies of the quarantine controller. */
export interface QuarantineContext {
  readonly archive: SuspectArchive;
  /** Whether this VM reads the store. */
  readonly readsStore: () => boolean;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Called with changes to announce to other VMs. */
  readonly onChanges: (suspects: readonly Suspect[]) => void;
  /** Called when the set of what is in quarantine has changed. */
  readonly onRefusedChange: () => void;
  /** Called with a fingerprint of which more is known than before. */
  readonly onNews?: (fingerprint: string) => void;
}

/** Period of the check for expired requests and requests to save, in milliseconds. */
const CHECK_MS = 250;
/**
 * Time for which changes are batched before they are announced, in milliseconds: a runner that
 * crashes aborts all of its runs at once.
 */
const BATCH_MS = 20;
/**
 * Time after which a reader of the store saves a request that it has not seen there, in
 * milliseconds: the VM that quarantines the request saves it at once, and watches report it within
 * a second.
 */
const SAVE_DELAY_MS = 2500;
/** Time between two attempts to save a request, in milliseconds. */
const SAVE_RETRY_MS = 1000;
/**
 * Maximum number of fingerprints that this VM accuses in a second: a failure domain that loses
 * power leaves thousands, and callers choose the ids of prompt parts.
 */
const MAX_ACCUSED_PER_S = 256;

/** The quarantine at one VM. */
export class QuarantineController {
  readonly #context: QuarantineContext;

  readonly #quarantine = new Quarantine();

  readonly #timer: NodeJS.Timeout;

  /** Changes that are not announced yet, by fingerprint. */
  readonly #pending = new Map<string, Suspect>();

  /** Fingerprints that were in quarantine at the last check. */
  #refused: ReadonlySet<string> = new Set();

  /** Fingerprints that the store is known to contain. */
  #stored = new Set<string>();

  /** Digest at the last check. */
  #lastDigest = '';

  /** Start of the second in which `#accusedCount` fingerprints were accused. */
  #accusedSince = -Infinity;

  #accusedCount = 0;

  /** When a request will be saved, by fingerprint. */
  readonly #saveAt = new Map<string, number>();

  constructor(context: QuarantineContext) {
    this.#context = context;
    this.#timer = setInterval(() => this.#check(performance.now()), CHECK_MS).unref();
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Whether no crash is known, so that all requests are allowed. */
  get isEmpty(): boolean {
    return this.#quarantine.isEmpty;
  }

  /** What may become of a request, by its fingerprints. */
  verdict(now: number, fingerprints: readonly string[]): Verdict {
    return this.#quarantine.verdict(now, fingerprints);
  }

  /** Number of runners known to have crashed under a fingerprint. */
  crashCount(fingerprint: string): number {
    return this.#quarantine.crashCount(fingerprint);
  }

  /**
   * Records that a runner crashed while it processed a request.
   * @param fingerprints those of the request, its own first
   * @param late see `RunnerCrash.late`
   */
  crashed(now: number, fingerprints: readonly string[], runner: string, late: boolean): void {
    for (const one of this.#quarantine.accused(now, fingerprints, runner)) {
      const isKnown = this.#quarantine.crashCount(one) > 0;
      if (isKnown || this.#mayAccuse(now)) {
        this.#changed(now, this.#quarantine.recordCrash(now, one, runner, late), 'own');
      }
    }
  }

  /** Records that a run of a request was found not to crash its runner. */
  completed(now: number, fingerprints: readonly string[]): void {
    for (const one of fingerprints) {
      this.#changed(now, this.#quarantine.recordCompletion(now, one), 'own');
    }
  }

  /**
   * Applies the suspect requests that another VM or the store knows.
   * @param source address of that VM, or `store`
   */
  learn(now: number, suspects: readonly Suspect[], source: string): void {
    for (const suspect of suspects) {
      this.#changed(now, this.#quarantine.apply(now, suspect), source);
    }
  }

  /**
   * Applies the requests that the store contains.
   * @param isAll whether it contains no others: missing ones were lost and are saved again
   */
  learnStored(now: number, suspects: readonly Suspect[], isAll: boolean): void {
    if (isAll) this.#stored = new Set();
    for (const { fingerprint } of suspects) this.#stored.add(fingerprint);
    this.learn(now, suspects, 'store');
  }

  /** Digest of the quarantine, by which VMs detect that theirs differ; empty if nothing is in quarantine. */
  digest(now: number): string {
    return this.#quarantine.digest(now);
  }

  /** All known suspect requests, for another VM. */
  suspects(now: number): readonly Suspect[] {
    return this.#quarantine.suspects(now);
  }

  /** Requests in quarantine, for operators. */
  snapshot(now: number): readonly unknown[] {
    return this.#quarantine.refused(now).map((suspect) => ({
      fingerprint: suspect.fingerprint,
      runners: countedCrashes(suspect).map(({ runner }) => runner),
      forMs: Math.round(this.#quarantine.refusedForMs(now, suspect.fingerprint) ?? 0),
    }));
  }

  #mayAccuse(now: number): boolean {
    if (now - this.#accusedSince >= 1000) {
      this.#accusedSince = now;
      this.#accusedCount = 0;
    }
    this.#accusedCount += 1;
    return this.#accusedCount <= MAX_ACCUSED_PER_S;
  }

  #changed(now: number, suspect: Suspect | undefined, source: string): void {
    if (!suspect) return;
    this.#announce(suspect);
    const { fingerprint } = suspect;
    this.#context.onNews?.(fingerprint);
    const isRefused = this.#quarantine.refusedForMs(now, fingerprint) !== undefined;
    if (isRefused === this.#refused.has(fingerprint)) return;
    if (source === 'own') this.#saveAt.set(fingerprint, now);
    this.#updateRefused(now, source);
  }

  #announce(suspect: Suspect): void {
    if (this.#pending.size === 0) setTimeout(() => this.#flush(), BATCH_MS).unref();
    this.#pending.set(suspect.fingerprint, suspect);
  }

  #flush(): void {
    const suspects = [...this.#pending.values()];
    this.#pending.clear();
    this.#context.onChanges(suspects);
  }

  #check(now: number): void {
    this.#updateRefused(now, 'time');
    const digest = this.digest(now);
    if (digest !== this.#lastDigest) this.#context.onRefusedChange();
    this.#lastDigest = digest;
    if (this.#context.readsStore()) this.#checkStored(now);
    for (const [fingerprint, at] of this.#saveAt) if (now >= at) this.#save(now, fingerprint);
  }

  /** Updates the set of quarantined requests and reports its changes. */
  #updateRefused(now: number, source: string): void {
    const refused = this.#quarantine.refused(now);
    const before = this.#refused;
    this.#refused = new Set(refused.map(({ fingerprint }) => fingerprint));
    const { log, metrics, onRefusedChange } = this.#context;
    const added = refused.filter(({ fingerprint }) => !before.has(fingerprint));
    const released = [...before].filter((fingerprint) => !this.#refused.has(fingerprint));
    for (const suspect of added) {
      const { fingerprint } = suspect;
      const runners = countedCrashes(suspect).map(({ runner }) => runner);
      const fields = { fingerprint, runners, source, forMs: TTL_MS };
      log.warn(fields, `Quarantined a ${kindOf(fingerprint)}.`);
    }
    for (const fingerprint of released) {
      log.info({ fingerprint, source }, `Released a ${kindOf(fingerprint)}.`);
    }
    if (added.length + released.length === 0) return;
    metrics.gauge('quarantine.requests', this.#refused.size);
    onRefusedChange();
  }

  /**
   * Schedules saving of requests that the store lacks: the VM that detected them may have died
   * before it saved them, or the store was restored from an older copy.
   */
  #checkStored(now: number): void {
    for (const fingerprint of this.#refused) {
      const isMissing = !this.#stored.has(fingerprint) && !this.#saveAt.has(fingerprint);
      if (isMissing) this.#saveAt.set(fingerprint, now + SAVE_DELAY_MS);
    }
  }

  #save(now: number, fingerprint: string): void {
    const suspect = this.#quarantine.suspects(now).find((one) => one.fingerprint === fingerprint);
    const isDone = this.#refused.has(fingerprint) && this.#stored.has(fingerprint);
    if (!suspect || isDone) {
      this.#saveAt.delete(fingerprint);
      return;
    }
    this.#saveAt.set(fingerprint, now + SAVE_RETRY_MS);
    const { archive, log } = this.#context;
    archive
      .save({ fingerprint, ends: countedCrashes(suspect) }, TTL_MS)
      .then(() => {
        log.info({ fingerprint }, 'Saved a quarantined request.');
        this.#stored.add(fingerprint);
        this.#saveAt.delete(fingerprint);
      })
      .catch((error) => log.warn({ fingerprint }, toFailure(error).line));
  }
}

function countedCrashes({ ends }: Suspect): readonly RunnerCrash[] {
  return ends.filter(({ cleared }) => !cleared);
}

function kindOf(fingerprint: string): string {
  return isPart(fingerprint) ? 'prompt part' : 'request';
}

/**
 * A fleet whose callers share parts of their prompts, some of which crash runners, under virtual
 * time: the quarantine and the trials of each VM, the gossip between them, and runners of a model
 * service with a prefill before each run.
 */

import { partFingerprints } from '../../../src/core/fingerprint';
import { EARLY_CRASH_MS, isAttributable, isLate } from '../../../src/core/quarantine/quarantine';
import { Trials } from '../../../src/core/quarantine/trials';
import { SyncFleet } from './syncfleet';
import { seeded } from './workload';
import type { TrialWait } from '../../../src/node/router/screening';
import { LONG_WAIT, SHORT_WAIT } from '../../../src/node/router/screening';

/** Requests that come at a rate, at any VM. */
export interface PromptTraffic {
  readonly perS: number;
  /** Parts of the prompt of the request with a number, without the request's own. */
  readonly partsOf: (turn: number) => readonly string[];
  /** When the first one comes, in milliseconds. Default: 0. */
  readonly from?: number;
}

/** A deployment and its traffic. */
export interface PromptFleetOptions {
  readonly vms: number;
  readonly runners: number;
  readonly seed: number;
  readonly fatalParts: readonly string[];
  /** From when on these parts are fatal, in milliseconds. Default: 0. */
  readonly fatalFrom?: number;
  readonly traffic: readonly PromptTraffic[];
  /** Runners that crash by chance, per second. Default: 0. */
  readonly chanceCrashesPerS?: number;
  /** Fraction of the packets between VMs that is lost. Default: 0. */
  readonly loss?: number;
}

/** What became of the requests. */
export interface PromptOutcome {
  /** Requests with a fatal part that reached runners after the fifth crash by that part, prefills included, the most of any part. */
  readonly lateSends: number;
  /** Crashes by the fatal parts, the most of any part. */
  readonly crashes: number;
  /** Share of the sound requests that began from `SETTLED_MS` after the fifth crash on, the smallest of any caller with ten or more. */
  readonly shareBegun: number;
  /** Sound requests that were rejected in all that time. */
  readonly rejected: number;
  /** Packets per second and VM, beyond those without crashes. */
  readonly packetsPerS: number;
}

interface Run {
  readonly vm: number;
  readonly fingerprints: readonly string[];
  answeredAt: number | undefined;
  ended: boolean;
}

interface RunnerState {
  id: string;
  upAt: number;
  readonly runs: Set<Run>;
}

interface Sound {
  readonly at: number;
  readonly caller: string;
  readonly outcome: 'begun' | 'rejected' | 'crashed';
}

const FLEET_START_MS = 9000;
const PLACE_MS = 5;
const MAX_WAIT_MS = 100;
const PREFILL_MS = 200;
const FIRST_EVENT_MS = 30;
const MIN_STREAM_MS = 500;
const MAX_STREAM_MS = 5000;
const CRASH_MS = 60;
const RESTART_MS = 3000;
const CALL_MS = 3;
const GOSSIP_MS = 300;
const KNOWN_CRASHES = 5;
/** Time after the fifth crash from which sound requests begin as before, in milliseconds. */
const SETTLED_MS = 6000;
const MIN_REQUESTS = 10;

/** Fingerprints of a request. */
function fingerprintsOf(id: string, parts: readonly string[]): readonly string[] {
  return [id, ...partFingerprints({ service: 's', model: 'm', version: 'v1' }, [...parts, id])];
}

/** Runs the traffic and counts. */
export class PromptFleet {
  readonly #options: PromptFleetOptions;

  readonly #fleet: SyncFleet;

  readonly #random: () => number;

  readonly #trials = new Trials();

  readonly #runners: RunnerState[];

  readonly #sends = new Map<string, number[]>();

  readonly #crashes = new Map<string, number[]>();

  readonly #sound: Sound[] = [];

  #instances = 0;

  constructor(options: PromptFleetOptions) {
    this.#options = options;
    const { vms, runners, seed, loss = 0 } = options;
    this.#fleet = new SyncFleet(vms, 4, seed);
    this.#random = seeded(seed);
    this.#runners = Array.from({ length: runners }, () => ({
      id: this.#newId(),
      upAt: 0,
      runs: new Set<Run>(),
    }));
    this.#fleet.run(FLEET_START_MS);
    this.#fleet.loseDatagrams(loss);
  }

  /** Runs for a time and returns what became of the requests. */
  run(ms: number): PromptOutcome {
    const { vms, traffic, chanceCrashesPerS = 0 } = this.#options;
    const startedAt = this.#fleet.now;
    const { packets } = this.#fleet.cost;
    this.#fleet.run(2000);
    const calm = (this.#fleet.cost.packets - packets) / 2000;
    const from = this.#fleet.now;
    traffic.forEach((one, index) => this.#startTraffic(one, index, from));
    this.#repeat(from, chanceCrashesPerS, () => this.#crashByChance());
    const before = this.#fleet.cost.packets;
    this.#fleet.run(ms);
    const perMs = (this.#fleet.cost.packets - before) / ms - calm;
    return { ...this.#outcome(startedAt), packetsPerS: (perMs * 1000) / vms };
  }

  #outcome(startedAt: number): Omit<PromptOutcome, 'packetsPerS'> {
    const { fatalParts } = this.#options;
    const known = fatalParts.map((part) => {
      const crashes = this.#crashes.get(part) ?? [];
      return { part, crashes, at: crashes[KNOWN_CRASHES - 1] ?? crashes.at(-1) ?? startedAt };
    });
    const lateSends = known.map(
      ({ part, at }) => (this.#sends.get(part) ?? []).filter((sentAt) => sentAt > at).length,
    );
    const settledAt = Math.max(...known.map(({ at }) => at)) + SETTLED_MS;
    const settled = this.#sound.filter(
      ({ at, outcome }) => at > settledAt && outcome !== 'crashed',
    );
    const shares = [...new Set(settled.map(({ caller }) => caller))]
      .map((caller) => settled.filter((one) => one.caller === caller))
      .filter((all) => all.length >= MIN_REQUESTS)
      .map((all) => all.filter(({ outcome }) => outcome === 'begun').length / all.length);
    return {
      lateSends: Math.max(0, ...lateSends),
      crashes: Math.max(0, ...known.map(({ crashes }) => crashes.length)),
      shareBegun: Math.min(1, ...shares),
      rejected: this.#sound.filter(({ outcome }) => outcome === 'rejected').length,
    };
  }

  #startTraffic({ perS, partsOf, from = 0 }: PromptTraffic, index: number, start: number): void {
    let turn = 0;
    this.#repeat(start + from, perS, () => {
      this.#arrive(`t${index}-${turn}`, partsOf(turn));
      turn += 1;
    });
  }

  /** Repeats a task at random times. */
  #repeat(from: number, perS: number, task: () => void): void {
    if (perS === 0) return;
    const next = (at: number): void => {
      const after = at + (-Math.log(1 - this.#random()) * 1000) / perS;
      this.#fleet.runAt(after, () => {
        task();
        next(after);
      });
    };
    next(from);
  }

  #arrive(id: string, parts: readonly string[]): void {
    const vm = Math.floor(this.#random() * this.#options.vms);
    const fingerprints = fingerprintsOf(id, parts);
    const goOn = (): void => {
      const waitMs = PLACE_MS + this.#random() * MAX_WAIT_MS;
      this.#later(waitMs, () => this.#prefill(vm, id, fingerprints, parts));
    };
    this.#admit(vm, id, fingerprints, parts, goOn, LONG_WAIT);
  }

  #prefill(
    vm: number,
    id: string,
    fingerprints: readonly string[],
    parts: readonly string[],
  ): void {
    this.#admit(vm, id, fingerprints, parts, () => {
      this.#recordSend(parts);
      this.#later(PREFILL_MS, () => {
        this.#admit(vm, id, fingerprints, parts, () => this.#decode(vm, fingerprints, parts));
      });
    });
  }

  /** Goes on if the request may run, after a trial was granted where it needs one. */
  #admit(
    vm: number,
    id: string,
    fingerprints: readonly string[],
    parts: readonly string[],
    goOn: () => void,
    wait: TrialWait = SHORT_WAIT,
    waitUntil = this.#fleet.now + wait.limitMs,
  ): void {
    const verdict = this.#fleet.verdict(vm, fingerprints);
    if (verdict.kind === 'allowed') goOn();
    else if (verdict.kind === 'refused') this.#record(parts, 'rejected');
    else {
      this.#later(2 * CALL_MS, () => {
        const owner = this.#fleet.verdict(0, fingerprints);
        const known = owner.kind === 'trial' ? owner.fingerprints : [];
        const tried = [...new Set([...verdict.fingerprints, ...known])];
        const isGranted =
          owner.kind !== 'refused' && this.#trials.tryBegin(this.#fleet.now, id, tried);
        if (isGranted) goOn();
        else if (this.#fleet.now < waitUntil) {
          this.#later(wait.pollMs, () =>
            this.#admit(vm, id, fingerprints, parts, goOn, wait, waitUntil),
          );
        } else this.#record(parts, 'rejected');
      });
    }
  }

  #decode(vm: number, fingerprints: readonly string[], parts: readonly string[]): void {
    const up = this.#runners.filter(({ upAt }) => upAt <= this.#fleet.now);
    const runner = up[Math.floor(this.#random() * up.length)];
    if (!runner) return;
    this.#recordSend(parts);
    const run: Run = { vm, fingerprints, answeredAt: undefined, ended: false };
    runner.runs.add(run);
    const fatal = this.#fatalOf(parts);
    if (fatal !== undefined) {
      const { id } = runner;
      this.#later(CRASH_MS, () => {
        if (runner.id !== id) return;
        this.#crashes.set(fatal, [...(this.#crashes.get(fatal) ?? []), this.#fleet.now]);
        this.#crash(runner);
      });
      return;
    }
    this.#later(FIRST_EVENT_MS, () => {
      if (run.ended) this.#record(parts, 'crashed');
      else {
        run.answeredAt = this.#fleet.now;
        this.#record(parts, 'begun');
      }
    });
    const streamMs = MIN_STREAM_MS + this.#random() * (MAX_STREAM_MS - MIN_STREAM_MS);
    this.#later(FIRST_EVENT_MS + Math.min(streamMs, EARLY_CRASH_MS), () => {
      if (!run.ended) this.#found(run);
    });
    this.#later(FIRST_EVENT_MS + streamMs, () => {
      run.ended = true;
      runner.runs.delete(run);
    });
  }

  #found({ vm, fingerprints }: Run): void {
    this.#fleet.complete(vm, fingerprints);
    this.#endTrials(fingerprints);
  }

  /** The owner hears of a result by gossip. */
  #endTrials(fingerprints: readonly string[]): void {
    this.#later(GOSSIP_MS, () => fingerprints.forEach((one) => this.#trials.end(one)));
  }

  #crash(runner: RunnerState): void {
    const { now } = this.#fleet;
    const { id } = runner;
    for (const run of runner.runs) {
      run.ended = true;
      if (isAttributable(now, run.answeredAt)) {
        this.#fleet.crash(run.vm, run.fingerprints, id, isLate(now, run.answeredAt));
        this.#endTrials(run.fingerprints);
      }
    }
    runner.runs.clear();
    Object.assign(runner, { id: this.#newId(), upAt: now + RESTART_MS });
  }

  #crashByChance(): void {
    const up = this.#runners.filter(({ upAt }) => upAt <= this.#fleet.now);
    const runner = up[Math.floor(this.#random() * up.length)];
    if (runner) this.#crash(runner);
  }

  #fatalOf(parts: readonly string[]): string | undefined {
    const { fatalParts, fatalFrom = 0 } = this.#options;
    const isFatal = this.#fleet.now >= FLEET_START_MS + 2000 + fatalFrom;
    return isFatal ? parts.find((part) => fatalParts.includes(part)) : undefined;
  }

  #recordSend(parts: readonly string[]): void {
    const fatal = this.#fatalOf(parts);
    if (fatal === undefined) return;
    this.#sends.set(fatal, [...(this.#sends.get(fatal) ?? []), this.#fleet.now]);
  }

  #record(parts: readonly string[], outcome: Sound['outcome']): void {
    if (this.#fatalOf(parts) !== undefined) return;
    this.#sound.push({ at: this.#fleet.now, caller: parts.join(' '), outcome });
  }

  #later(ms: number, task: () => void): void {
    this.#fleet.runAt(this.#fleet.now + ms, task);
  }

  #newId(): string {
    this.#instances += 1;
    return `i-${this.#instances}`;
  }
}

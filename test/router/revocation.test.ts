import fc from 'fast-check';

import { SyncFleet } from '../fakes/virtual/syncfleet';

const VMS = 7;
/** Time after which a revoked key must be refused on every VM. */
const REVOKE_MS = 5000;
/** Maximum age of a configuration by which keys are accepted. */
const KEY_MAX_AGE_MS = 4700;
/**
 * Time without faults after which every VM must have confirmed its configuration. Dead VMs are
 * detected in about two seconds, and a restored store confirms nothing for 2.5 seconds.
 */
const RECOVERY_MS = 6000;
const TICK_MS = 100;

const vm = fc.nat({ max: VMS - 1 });
const someVms = fc.uniqueArray(vm, { maxLength: VMS });
const event = fc.oneof(
  fc.record({ kind: fc.constant('revoke' as const) }),
  fc.record({ kind: fc.constant('loseConfig' as const) }),
  fc.record({ kind: fc.constant('cut' as const), vms: someVms }),
  fc.record({ kind: fc.constant('mute' as const), vms: someVms }),
  fc.record({ kind: fc.constant('freeze' as const), vms: someVms }),
  fc.record({ kind: fc.constant('thaw' as const) }),
  fc.record({ kind: fc.constant('restart' as const), vms: someVms }),
  fc.record({ kind: fc.constant('step' as const), vm, ms: fc.integer({ min: 100, max: 6000 }) }),
  fc.record({ kind: fc.constant('refuse' as const), vms: someVms }),
);
const steps = fc.array(fc.record({ event, forMs: fc.integer({ min: 50, max: 4000 }) }), {
  maxLength: 12,
});

type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;

/** A fleet and the time at which each configuration was confirmed to the operator. */
class Scenario {
  readonly #fleet: SyncFleet;

  readonly #confirmedAt = new Map<number, number>();

  #frozen: readonly number[] = [];

  #version = 1;

  constructor(seed: number) {
    this.#fleet = new SyncFleet(VMS, 6, seed);
    this.#fleet.requireKeys();
    this.run(5000);
  }

  /** Applies one fault or change. */
  apply(step: Event): void {
    const fleet = this.#fleet;
    if (step.kind === 'revoke') {
      this.#version = fleet.configure();
      this.#confirmedAt.set(this.#version, fleet.now);
    }
    if (step.kind === 'loseConfig' && this.#version > 1) fleet.restoreWithoutConfig();
    if (step.kind === 'cut') fleet.isolate(step.vms);
    if (step.kind === 'mute') fleet.dropOutgoing(step.vms);
    if (step.kind === 'freeze') this.#freeze(step.vms);
    if (step.kind === 'thaw') this.#freeze([]);
    if (step.kind === 'restart') {
      this.#freeze([]);
      for (const number of step.vms) fleet.restart(number);
    }
    if (step.kind === 'step') fleet.advanceClock(step.vm, step.ms);
    if (step.kind === 'refuse') {
      const refused = new Set(step.vms);
      fleet.blockStore((number) => refused.has(number));
    }
  }

  /** Runs and checks that no VM uses a configuration older than one confirmed more than `REVOKE_MS` ago. */
  run(ms: number): void {
    for (let at = 0; at < ms; at += TICK_MS) {
      this.#fleet.run(TICK_MS);
      const oldest = Math.min(Infinity, ...this.#fleet.usableConfigs(KEY_MAX_AGE_MS));
      for (const [version, confirmedAt] of this.#confirmedAt) {
        const isOver = this.#fleet.now > confirmedAt + REVOKE_MS;
        if (isOver && oldest < version) {
          throw new Error(
            `found version ${oldest} in use ${this.#fleet.now - confirmedAt} ms after version ${version} was confirmed, expected a newer version`,
          );
        }
      }
    }
  }

  /** Ends all faults and returns the highest age of a configuration after the recovery time. */
  recover(): number {
    this.#freeze([]);
    this.#fleet.isolate([]);
    this.#fleet.dropOutgoing([]);
    this.#fleet.blockStore(() => false);
    this.run(RECOVERY_MS);
    return this.#fleet.configAges.at(-1) ?? Infinity;
  }

  #freeze(vms: readonly number[]): void {
    const fleet = this.#fleet;
    fleet.freeze(this.#frozen, false);
    this.#frozen = vms;
    fleet.freeze(vms, true);
  }
}

describe('a revoked key', () => {
  /*
   * Faults and changes occur in any order: keys are revoked, VMs freeze or restart, lose
   * each other in one or both directions, have their clock set forward, get no answer from
   * the store, and the store is restored from a copy that lacks the last configuration. No VM
   * may accept a key too long after its revocation, and after recovery no VM may refuse keys
   * for lack of a freshness proof.
   */
  test('is refused in time on every VM, and all VMs accept valid keys again after recovery', () => {
    fc.assert(
      fc.property(steps, fc.integer(), (applied, seed) => {
        const scenario = new Scenario(seed);
        for (const { event: step, forMs } of applied) {
          scenario.apply(step);
          scenario.run(forMs);
        }
        expect(scenario.recover()).toBeLessThan(KEY_MAX_AGE_MS);
      }),
      { numRuns: Number(process.env.RUNS ?? 60), seed: 20261203 },
    );
  }, 600_000);

  /*
   * The store is restored from a copy that lacks the configuration that revoked a key, and
   * all VMs restart at that moment, so no process has this configuration until the operator
   * writes it again. VMs that relied on the copy alone would accept the key long after its
   * revocation.
   */
  test('stays revoked when all VMs restart and read a store without the revocation', () => {
    const scenario = new Scenario(7);
    scenario.apply({ kind: 'revoke' });
    scenario.run(4500);
    scenario.apply({ kind: 'loseConfig' });
    scenario.apply({ kind: 'restart', vms: Array.from({ length: VMS }, (_, number) => number) });
    expect(scenario.recover()).toBeLessThan(KEY_MAX_AGE_MS);
  });

  /*
   * Eight of 66 VMs lose all others, but neither each other nor the store. As they still
   * receive messages from each other, none treats itself as isolated, and it takes them many
   * seconds to detect the loss of the readers. Without a query of their own to the store they
   * would refuse all keys in that time.
   */
  test('does not make partitioned VMs refuse valid keys while the store answers them', () => {
    const fleet = new SyncFleet(66, 6, 5);
    fleet.requireKeys();
    fleet.run(9000);
    const readers = new Set(fleet.readers);
    const others = Array.from({ length: 66 }, (_, number) => number).filter(
      (number) => !readers.has(number),
    );
    fleet.partition(others.slice(0, 8));
    expect(fleet.maxConfigAge(9000)).toBeLessThan(KEY_MAX_AGE_MS);
  });
});

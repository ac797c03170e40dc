import fc from 'fast-check';

import type { Member } from '../../src/core/membership/types';
import { Forwarders } from '../../src/core/paths/forwarders';
import { PathTable } from '../../src/core/paths/table';

const runner = (id: string): { readonly address: string; readonly id: string } => ({
  address: `${id}:80`,
  id,
});

/** Longest time in which a lost path must be probed again, in milliseconds: callers wait for its return. */
const MAX_UNPROBED_MS = 3000;
/** Shortest time between two probes of a path, in milliseconds. */
const MIN_UNPROBED_MS = 250;

describe('the paths of a VM', () => {
  /* A VM whose paths flap must neither flood runners with probes nor stay away from one that is back. */
  test('are direct, by another VM or none as the last connections went, and are probed at a bounded rate', () => {
    const step = fc.record({
      kind: fc.constantFrom('connected', 'lost', 'forwarded', 'notForwarded', 'expedite', 'wait'),
      id: fc.constantFrom('a', 'b', 'c'),
      ms: fc.integer({ min: 1, max: 400 }),
      random: fc.double({ min: 0, max: 1, noNaN: true, maxExcluded: true }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const table = new PathTable();
        const expected = new Map<string, 'tunnel' | 'none'>();
        const probedAt = new Map<string, number>();
        let now = 0;
        for (const { kind, id, ms, random } of steps) {
          const { address } = runner(id);
          now += ms;
          if (kind === 'connected') {
            table.recordConnected(now, address);
            expected.delete(address);
            probedAt.delete(address);
          } else if (kind === 'lost') {
            const isNew = table.recordLost(now, runner(id), random);
            expect(isNew).toBe(!expected.has(address));
            if (isNew) expected.set(address, 'tunnel');
            probedAt.set(address, now);
          } else if (kind === 'expedite') {
            table.expedite(now);
            probedAt.clear();
            for (const lost of table.lost) probedAt.set(lost, -Infinity);
          } else if (kind !== 'wait' && expected.has(address)) {
            if (kind === 'forwarded') table.recordForwarded(now, address);
            else table.recordNotForwarded(address, true);
            expected.set(address, kind === 'forwarded' ? 'tunnel' : 'none');
          }
          for (const due of table.takeDue(now, 8, () => random)) {
            expect(now - (probedAt.get(due.address) ?? NaN)).toBeGreaterThanOrEqual(
              MIN_UNPROBED_MS,
            );
            probedAt.set(due.address, now);
          }
          for (const [lost, at] of probedAt) {
            if (at > 0) expect(now - at).toBeLessThan(MAX_UNPROBED_MS);
            expect(table.pathTo(lost)).toBe(expected.get(lost));
          }
          for (const one of ['a', 'b', 'c']) {
            expect(table.pathTo(`${one}:80`)).toBe(expected.get(`${one}:80`) ?? 'direct');
          }
        }
      }),
      { numRuns: 300 },
    );
  });

  /* Another instance at the address has not been tried. */
  test('are forgotten with the instance, or when it is not listed any more', () => {
    const table = new PathTable();
    for (const id of ['a', 'b', 'c']) table.recordLost(0, runner(id), 0.5);
    table.retain([runner('a'), { address: 'b:80', id: 'b@2' }]);
    expect(table.lost).toEqual(['a:80']);
  });

  /* A silent runner is reached by nobody, and by everybody once it goes on. */
  test('are cut off only if a direct attempt fails after another VM reached the runner', () => {
    const table = new PathTable();
    const isCutOff = [
      () => table.recordLost(350, runner('a'), 0.5, 0),
      () => table.recordForwarded(400, 'a:80'),
      () => table.recordLost(700, runner('a'), 0.5, 350),
      () => table.recordLost(800, runner('a'), 0.5, 450),
      () => table.recordConnected(900, 'a:80'),
    ].map((happen) => {
      happen();
      return table.isCutOff('a:80');
    });
    expect(isCutOff).toEqual([false, false, false, true, false]);
  });
});

function memberOf(vm: string, domain: string, change: Partial<Member> = {}): Member {
  return {
    vm,
    domain,
    address: `${vm}:1`,
    incarnation: 1,
    state: 'alive',
    draining: false,
    gateways: [],
    cores: 1,
    storeLost: false,
    ...change,
  };
}

const members = [
  memberOf('self', 'x'),
  memberOf('near1', 'x'),
  memberOf('near2', 'x'),
  memberOf('far1', 'y'),
  memberOf('far2', 'z'),
  memberOf('drains', 'x', { draining: true }),
  memberOf('gone', 'x', { state: 'dead' }),
  memberOf('silent', 'x', { state: 'suspect' }),
];

/** Names of the VMs to ask, in order; equal ones in the order of the list. */
function namesOf(forwarders: Forwarders, now: number, most = 9): readonly string[] {
  return forwarders.order(now, members, 'r:80', most, () => 0.5).map(({ vm }) => vm);
}

describe('the VMs that forward', () => {
  test('are asked in turn within and outside of the failure domain, which may be cut off as a whole', () => {
    const forwarders = new Forwarders('self', 'x');
    expect(namesOf(forwarders, 0)).toEqual(['near1', 'far1', 'near2', 'far2']);
    expect(namesOf(forwarders, 0, 2)).toEqual(['near1', 'far1']);
  });

  test('are asked first for a while if they forwarded, and not at all if they did not', () => {
    const forwarders = new Forwarders('self', 'x');
    forwarders.recordSuccess(0, 'far2');
    forwarders.recordFailure(0, 'near1', 'r:80', 'vm');
    forwarders.recordFailure(0, 'near2', 'other:80', 'runner');
    expect(namesOf(forwarders, 10)).toEqual(['far2', 'near2', 'far1']);
    expect(namesOf(forwarders, 2000)).toEqual(['far2', 'near1', 'far1', 'near2']);
    expect(namesOf(forwarders, 6000)).toEqual(['near1', 'far1', 'near2', 'far2']);
  });

  /* The only VM that reaches the runners was busy for half a second, and was not asked any more. */
  test('are asked last, but still asked, if they did not answer', () => {
    const forwarders = new Forwarders('self', 'x');
    for (const vm of ['near1', 'near2', 'far1']) forwarders.recordFailure(0, vm, 'r:80', 'vm');
    forwarders.recordFailure(0, 'far2', 'r:80', 'slow');
    expect(namesOf(forwarders, 10)).toEqual(['far2']);
    expect(forwarders.isExhausted(10, members, 'r:80')).toBe(false);
    const slow = new Forwarders('self', 'x');
    slow.recordFailure(0, 'near1', 'r:80', 'slow');
    expect(namesOf(slow, 10)).toEqual(['near2', 'far1', 'far2', 'near1']);
    slow.recordSuccess(20, 'near1');
    slow.recordFailure(25, 'near1', 'r:80', 'slow');
    expect(namesOf(slow, 30)).toEqual(['near1', 'near2', 'far1', 'far2']);
  });

  test('are asked one at a time if all failed, the one that failed first', () => {
    const forwarders = new Forwarders('self', 'x');
    ['far1', 'near1', 'near2', 'far2'].forEach((vm, at) =>
      forwarders.recordFailure(at, vm, 'r:80', 'vm'),
    );
    expect(namesOf(forwarders, 10)).toEqual(['far1']);
  });

  /* Some VMs may be cut off as well; that four do not reach the runner either is its own fault, most likely. */
  test('show that a runner is out of reach when four do not reach it, or all failed', () => {
    const forwarders = new Forwarders('self', 'x');
    const isExhausted = (): boolean => forwarders.isExhausted(10, members, 'r:80');
    forwarders.recordFailure(0, 'near1', 'r:80', 'runner');
    forwarders.recordFailure(0, 'near2', 'r:80', 'vm');
    forwarders.recordFailure(0, 'far1', 'r:80', 'vm');
    expect(isExhausted()).toBe(false);
    forwarders.recordFailure(0, 'far2', 'r:80', 'vm');
    expect(isExhausted()).toBe(true);
    const confirmed = new Forwarders('self', 'x');
    const more = [...members, memberOf('far3', 'y')];
    for (const vm of ['near1', 'far1', 'far2']) {
      confirmed.recordFailure(0, vm, 'r:80', 'runner');
      expect(confirmed.isExhausted(10, more, 'r:80')).toBe(false);
    }
    confirmed.recordFailure(0, 'near2', 'r:80', 'runner');
    expect(confirmed.isExhausted(10, more, 'r:80')).toBe(true);
    expect(confirmed.isExhausted(10, more, 'other:80')).toBe(false);
  });

  /* The callers of a VM that forwards for all others would be served worse. */
  test.each([7, 66, 195])('share the load of those that lost their paths: %i VMs', (count) => {
    const fleet = Array.from({ length: count }, (_, i) => memberOf(`vm${i}`, `d${i % 3}`));
    const partitioned = fleet.filter((_, i) => i % 7 < 4);
    const reaching = fleet.filter((member) => !partitioned.includes(member));
    const load = new Map<string, number>();
    for (const { vm, domain } of partitioned) {
      const forwarders = new Forwarders(vm, domain);
      for (let request = 0; request < 100; request += 1) {
        const now = request * 100;
        const asked = forwarders.order(now, fleet, 'r:80', 4, Math.random);
        const forwarder = asked.find((member) => reaching.includes(member));
        for (const member of asked.slice(0, forwarder ? asked.indexOf(forwarder) : 4)) {
          forwarders.recordFailure(now, member.vm, 'r:80', 'vm');
        }
        if (forwarder) forwarders.recordSuccess(now, forwarder.vm);
        if (forwarder) load.set(forwarder.vm, (load.get(forwarder.vm) ?? 0) + 1);
      }
    }
    const mean = (partitioned.length * 100) / reaching.length;
    expect(Math.max(...load.values())).toBeLessThan(4 * mean);
    const served = [...load.values()].reduce((sum, value) => sum + value, 0);
    expect(served).toBeGreaterThan(partitioned.length * 100 * 0.95);
  });
});

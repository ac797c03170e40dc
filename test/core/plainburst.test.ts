import type { PlainRequest } from '../fakes/virtual/plainfleet';
import { SharedLoads, VMS, ownCounts, replay } from '../fakes/virtual/plainfleet';

const SEEDS = [1, 2, 3];
/** At the top of the burst of `replay`, which lasts from 8 to 12 s. */
const FAULT_MS = 9000;
/** Time in which the shared table is as good as before, by docs/design/plain-load.md. */
const RECOVERY_MS = 2500;
const HALF = Array.from({ length: VMS }, (_, vm) => vm).filter((vm) => vm % 2 === 0);

/** VMs that do not answer others. */
interface Fault {
  readonly vms: readonly number[];
  /** Whether callers do not use these VMs. */
  readonly areGone: boolean;
  /** When they answer again, in milliseconds after the fault. Default: never. */
  readonly endMs?: number;
}

/** Late and failed requests by own counts and by the shared table. */
interface Sums {
  counts: number;
  table: number;
}

function play({ vms, areGone, endMs }: Fault): {
  readonly recovering: Sums;
  readonly recovered: Sums;
  readonly retries: number;
  readonly all: number;
  readonly messages: number;
} {
  const recovering = { counts: 0, table: 0 };
  const recovered = { counts: 0, table: 0 };
  let retries = 0;
  let all = 0;
  let messages = 0;
  const gone = new Set(areGone ? vms : []);
  const openVmOf = (now: number, vm: number): number =>
    now >= FAULT_MS && gone.has(vm) ? (vm + 1) % VMS : vm;
  const changes = [FAULT_MS, ...(endMs === undefined ? [] : [FAULT_MS + endMs])];
  const add = (requests: readonly PlainRequest[], key: keyof Sums): void => {
    for (const { at, state } of requests) {
      if (at >= FAULT_MS && state !== 'inTime') {
        const isRecovering = changes.some((from) => at >= from && at < from + RECOVERY_MS);
        (isRecovering ? recovering : recovered)[key] += 1;
      }
    }
  };
  for (const seed of SEEDS) {
    add(
      replay(seed, (_, random) => (vm) => ownCounts(vm, random), openVmOf),
      'counts',
    );
    let loads: SharedLoads | undefined;
    const byTable = replay(
      seed,
      (clock, random) => {
        const shared = new SharedLoads(clock, random);
        loads = shared;
        clock.after(FAULT_MS, () => shared.lose(vms));
        if (endMs !== undefined) clock.after(FAULT_MS + endMs, () => shared.restore());
        return (vm) => shared.chooserOf(vm);
      },
      openVmOf,
    );
    add(byTable, 'table');
    messages += loads?.messages ?? 0;
    all += byTable.length;
    retries += byTable.reduce((sum, { sends }) => sum + sends - 1, 0);
  }
  return { recovering, recovered, retries, all, messages };
}

describe('at the top of a burst of plain requests, the shared load table', () => {
  /*
   * Guards against requests that wait for an owner which does not answer, and against a next owner
   * whose table is empty or old.
   */
  test.each<[string, Fault]>([
    ['its owner is frozen', { vms: [0], areGone: true, endMs: 4000 }],
    ['its owner is cut off from the other VMs', { vms: [0], areGone: false, endMs: 4000 }],
    ['its owner is killed', { vms: [0], areGone: true }],
    ['half of the VMs are killed, its owner among them', { vms: HALF, areGone: true }],
  ])('is no worse than own counts at first, and twice as good later, when %s', (_, fault) => {
    const { recovering, recovered, retries, all, messages } = play(fault);
    expect(recovering.table).toBeLessThanOrEqual(recovering.counts);
    expect(recovered.table).toBeLessThan(recovered.counts * 0.5);
    expect(retries).toBeLessThan(2 * all);
    expect(messages).toBeLessThan(1.2 * all);
  });
});

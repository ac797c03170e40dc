import { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import pino from 'pino';

import type { Member } from '../../src/core/membership/types';
import { TunnelFailure } from '../../src/node/peer/tunnel';
import { RouterMetrics } from '../../src/node/router/metrics';
import { PathController } from '../../src/node/router/paths';
import type { RunnerTarget } from '../../src/node/router/types';
import { runnerOf } from '../fakes/runner';

const runners = ['a', 'b', 'c', 'd'].map((id) => runnerOf(id, 'plain'));
/** Time for which a runner stays silent after it was found out of reach, in milliseconds. */
const SILENT_MS = 250;
const never = new AbortController().signal;

function memberOf(vm: string): Member {
  return {
    vm,
    domain: 'a',
    address: `${vm}:1`,
    incarnation: 1,
    state: 'alive',
    draining: false,
    gateways: [],
    cores: 1,
    storeLost: false,
  };
}

function targetOf(id: string): RunnerTarget {
  return { address: `${id}:80`, id, request: 'q', mayAbandon: undefined };
}

/** Paths of a VM whose connections fail or not as a test says. */
class TestPaths {
  /** Runners that the VM does not reach directly. */
  readonly lost = new Set<string>();

  /** Runners that no other VM reaches. */
  readonly down = new Set<string>();

  /** Whether no connection is established, neither directly nor through other VMs. */
  isSilent = false;

  readonly #held: Socket[] = [];

  /** How often the members of the fleet were read. */
  memberReads = 0;

  /** Whether other VMs do not forward at all. */
  areOthersPartitioned = false;

  readonly paths = new PathController({
    vm: 'self',
    domain: 'a',
    dialer: { dial: (address) => this.#dial(address) },
    members: () => {
      this.memberReads += 1;
      return [memberOf('vm1'), memberOf('vm2')];
    },
    runners: () => runners,
    openTunnel: async (_via, { address }) => {
      if (this.isSilent) throw new TunnelFailure('runner', 'not reached');
      if (this.areOthersPartitioned) throw new TunnelFailure('vm', 'partitioned');
      if (this.down.has(address)) throw new TunnelFailure('runner', 'not reached');
      return { socket: new Socket(), headBytes: 0 };
    },
    metrics: new RouterMetrics(),
    log: pino({ level: 'silent' }),
  });

  /** Connects for one request; resolves to whether that succeeded. */
  async connect(id: string): Promise<boolean> {
    return this.paths.connect(targetOf(id), never).then(
      () => true,
      () => false,
    );
  }

  /** Whether a failure now, of a request that was sent at a time, is the runner's. */
  isAtFault(id: string, sentAt: number): boolean {
    return this.paths.isAtFault(performance.now(), runnerOf(id, 'plain'), sentAt);
  }

  /** Ends the silence: connections that were begun in it are established. */
  goOn(): void {
    this.isSilent = false;
    for (const socket of this.#held) if (!socket.destroyed) socket.emit('connect');
  }

  #dial(address: string): Socket {
    const socket = Object.assign(new Socket(), { connecting: true });
    if (this.isSilent) {
      this.#held.push(socket);
      return socket;
    }
    setImmediate(() => {
      if (this.lost.has(address)) socket.destroy(new Error('refused'));
      else socket.emit('connect');
    });
    return socket;
  }
}

/* Ranking them costs time for each VM of the fleet, at every request. */
test('other VMs are not ranked for a direct connection', async () => {
  const vm = new TestPaths();
  expect(await vm.connect('a')).toBe(true);
  expect(vm.memberReads).toBe(0);
  vm.paths.stop();
});

describe('a failure of a request', () => {
  let vm: TestPaths;

  beforeEach(() => {
    vm = new TestPaths();
  });
  afterEach(() => vm.paths.stop());

  test("is the runner's while it is reached directly", async () => {
    expect(await vm.connect('a')).toBe(true);
    expect(vm.isAtFault('a', 0)).toBe(true);
  });

  /* Its connection may have been cut off, and the runner may have done its work. */
  test("is not the runner's if the path was lost under it", async () => {
    const sentAt = performance.now();
    vm.lost.add('a:80');
    expect(await vm.connect('a')).toBe(true);
    expect(vm.isAtFault('a', sentAt)).toBe(false);
  });

  test("is the runner's if another VM forwarded it after the path was lost", async () => {
    vm.lost.add('a:80');
    await vm.connect('a');
    await pause(2);
    const sentAt = performance.now();
    expect(await vm.connect('a')).toBe(true);
    expect(vm.isAtFault('a', sentAt)).toBe(true);
  });

  /* The other VMs that were asked were partitioned, too: nobody tried the runner. */
  test("is not the runner's if no VM forwarded it", async () => {
    vm.lost.add('a:80');
    await vm.connect('a');
    vm.areOthersPartitioned = true;
    await pause(2);
    const sentAt = performance.now();
    expect(await vm.connect('a')).toBe(false);
    expect(vm.isAtFault('a', sentAt)).toBe(false);
  });

  test("is the runner's if it alone is reached by no VM", async () => {
    vm.lost.add('a:80');
    vm.down.add('a:80');
    expect(await vm.connect('a')).toBe(false);
    expect(vm.paths.reaches(runnerOf('a', 'plain'))).toBe(false);
    expect(vm.isAtFault('a', performance.now())).toBe(true);
  });

  /* All runners at once: it is the network, or this VM. */
  test("is not the runners' if most of them are reached by no VM", async () => {
    for (const { id, address } of runners) {
      vm.lost.add(address);
      vm.down.add(address);
      await vm.connect(id);
    }
    expect(runners.map(({ id }) => vm.isAtFault(id, performance.now()))).toEqual(
      runners.map(() => false),
    );
  });
});

/* Its requests were rejected until the next probe, up to two seconds after a sound runner had gone on. */
test('a runner that was silent is reached as soon as it goes on', async () => {
  const vm = new TestPaths();
  vm.isSilent = true;
  const path = (): string => vm.paths.pathTo(runnerOf('a', 'plain'));
  expect([await vm.connect('a'), path()]).toEqual([false, 'none']);
  await pause(SILENT_MS);
  const before = path();
  vm.goOn();
  await pause(1);
  expect([before, path()]).toEqual(['none', 'direct']);
  vm.paths.stop();
});

import { EventEmitter, once } from 'node:events';
import { setImmediate } from 'node:timers/promises';

import pino from 'pino';

import { Failure } from '../../src/core/failure';
import type { Member } from '../../src/core/membership/types';
import type { Runner } from '../../src/core/routing/types';
import type { Exchange } from '../../src/node/router/exchange';
import { RouterMetrics } from '../../src/node/router/metrics';
import { PlainLoads } from '../../src/node/router/plainloads';
import type { Reply } from '../../src/node/router/types';
import { exchangeInto, promptRequest, replyOf, streamRoute } from '../fakes/exchange';
import { runnerOf } from '../fakes/runner';
import { openStateOf } from '../fakes/runs';

const route = { ...streamRoute, kind: 'repeatable' as const, aimMs: 300 };
const runners = ['a', 'b'].map((id) => runnerOf(id, 'plain', { slots: 6 }));
const [a, b] = runners as [Runner, Runner];

function replyWith(running: number, slowness: number | undefined): Reply {
  return { ...replyOf(200, ''), load: { running, waiting: 0, slots: 6, slowness } };
}

/** VMs of which the first owns all services. */
class LinkedVms {
  readonly messages: string[] = [];

  readonly skipped: string[] = [];

  isFrozen = false;

  rejects = false;

  readonly #timeout = new EventEmitter();

  readonly #loads: PlainLoads[];

  readonly #open: Exchange[] = [];

  constructor(count: number) {
    const members = Array.from({ length: count }, (_, i) => ({
      vm: `v${i}`,
      address: `v${i}`,
      state: 'alive',
    }));
    this.#loads = members.map(
      ({ vm }) =>
        new PlainLoads({
          vm,
          fleet: {
            all: members as unknown as readonly Member[],
            ownersOf: () => members as unknown as readonly Member[],
            call: (address, method, params) => this.#call(address, method, params),
            deprioritize: (_now, skipped) => this.skipped.push(skipped),
          },
          routingState: openStateOf(runners),
          metrics: new RouterMetrics(),
          log: pino({ level: 'silent' }),
        }),
    );
  }

  vm(index: number): PlainLoads {
    return this.#loads[index] as PlainLoads;
  }

  exchange(): Exchange {
    const exchange = exchangeInto([], promptRequest, route);
    this.#open.push(exchange);
    return exchange;
  }

  /** Ends the calls to a frozen owner. */
  async timeOut(): Promise<void> {
    this.#timeout.emit('timeout');
    await setImmediate();
  }

  end(): void {
    for (const exchange of this.#open) exchange.end();
  }

  async #call(address: string, method: string, params: unknown): Promise<unknown> {
    this.messages.push(method);
    if (this.rejects) throw new Failure('peerRejected', 'found an unknown method');
    if (this.isFrozen) await once(this.#timeout, 'timeout');
    if (this.isFrozen) throw new Error('found no answer in time');
    const sent: unknown = JSON.parse(JSON.stringify(params));
    const owner = this.vm(0);
    const now = performance.now();
    if (method === 'plainFailures') return this.vm(Number(address.slice(1))).onFailures(now, sent);
    return method === 'plainLoad' ? owner.onAsk(now, sent) : owner.onNews(now, sent);
  }
}

describe('the loads of plain services', () => {
  const fleets: LinkedVms[] = [];
  const fleetOf = (count = 5): LinkedVms => {
    const fleet = new LinkedVms(count);
    fleets.push(fleet);
    return fleet;
  };

  afterAll(() => fleets.forEach((fleet) => fleet.end()));

  // Deployments whose runners report no slowness must not pay for messages.
  test('are not exchanged if no runner reports its slowness, or among few VMs', async () => {
    const now = performance.now();
    const unreported = fleetOf();
    unreported.vm(1).replied(now, unreported.exchange(), a, now, replyWith(6, undefined));
    unreported.vm(1).sent(now, unreported.exchange(), a);
    const few = fleetOf(3);
    few.vm(1).replied(now, few.exchange(), a, now, replyWith(6, 2.5));
    await few.vm(1).refresh(now, few.exchange(), runners);
    expect([unreported.messages, few.messages]).toEqual([[], []]);
    expect([unreported, few].map((fleet) => fleet.vm(1).isActive(now, 's'))).toEqual([false, true]);
  });

  // Guards against VMs that all choose the same runner, and against a message for each request.
  test('send requests of several VMs to different runners, with one message for each refresh', async () => {
    const fleet = fleetOf();
    const now = performance.now();
    // Requests that take long, so that none ends while the test runs.
    const sentAt = now - 20_000;
    fleet.vm(1).replied(now, fleet.exchange(), a, sentAt, replyWith(0, 1));
    fleet.vm(1).replied(now, fleet.exchange(), b, sentAt, replyWith(2, 1));
    const chosen: (string | undefined)[] = [];
    for (const vm of [1, 2, 3, 4]) {
      chosen.push(await fleet.vm(vm).refresh(performance.now(), fleet.exchange(), runners));
    }
    expect([...chosen].sort()).toEqual(['a', 'a', 'a', 'b']);
    const again = await Promise.all(
      [1, 2, 3].map(() => fleet.vm(1).refresh(now, fleet.exchange(), runners)),
    );
    expect(again).toEqual([undefined, undefined, undefined]);
    expect(fleet.messages).toEqual(Array.from({ length: 4 }, () => 'plainLoad'));
  });

  // Guards against a runner that fails for seconds at VMs that have not seen it fail themselves.
  test('include failures, of which the owner tells all VMs where no load is reported', async () => {
    const fleet = fleetOf();
    const now = performance.now();
    const end = (vm: number, runner: Runner, hasFailed: boolean): void =>
      fleet.vm(vm).ended(now + 200 * vm, fleet.exchange(), runner, hasFailed);
    end(1, b, false);
    expect(fleet.messages).toEqual([]);
    for (const vm of [1, 2, 3, 4]) {
      end(vm, b, false);
      end(vm, a, true);
    }
    await setImmediate();
    const excess = fleet.vm(4).failureExcess(now + 800, 's', 'a');
    expect(excess).toBeGreaterThan(0.3);
    expect(fleet.vm(1).failureExcess(now + 800, 's', 'b')).toBe(0);
    expect(new Set(fleet.messages)).toEqual(new Set(['plainNews', 'plainFailures']));
  });

  test('are told to the owner at once when a response differs from what was expected', async () => {
    const fleet = fleetOf();
    const now = performance.now();
    fleet.vm(1).replied(now, fleet.exchange(), a, now, replyWith(0, 2.5));
    expect(fleet.messages).toEqual(['plainNews']);
    expect(fleet.vm(0).snapshot(now)).toMatchObject({ s: { runners: { a: { slowness: 2.5 } } } });
  });

  // A request must not wait until the call to a frozen owner ends, which the test does afterwards.
  test('are those of the VM alone while the owner does not answer', async () => {
    const fleet = fleetOf();
    const now = performance.now();
    fleet.vm(1).replied(now, fleet.exchange(), a, now, replyWith(3, 1));
    fleet.isFrozen = true;
    expect(await fleet.vm(1).refresh(now, fleet.exchange(), runners)).toBeUndefined();
    const best = fleet.vm(1).best(now, fleet.exchange(), [
      { ...a, extra: 0 },
      { ...b, extra: 0 },
    ]);
    expect(best?.runner.id).toBe('b');
    await fleet.timeOut();
    expect(fleet.skipped).toEqual(['v0']);
  });

  // During an update of the fleet, an owner of the version before would be skipped for model services as well.
  test('do not skip an owner that rejects their messages', async () => {
    const fleet = fleetOf();
    const now = performance.now();
    fleet.vm(1).replied(now, fleet.exchange(), a, now, replyWith(3, 1));
    fleet.rejects = true;
    expect(await fleet.vm(1).refresh(now, fleet.exchange(), runners)).toBeUndefined();
    expect([fleet.messages, fleet.skipped]).toEqual([['plainLoad'], []]);
  });

  test('reject messages that do not fit the schema, and are not changed by them or by odd items', () => {
    const fleet = fleetOf();
    const odd = ['a', [1, 0, 0, 2.5, 0]];
    const ask = { service: 's', seen: [odd], sent: [] };
    const code = { codeName: 'peerRejected' };
    const onNews = (params: unknown) => () => fleet.vm(0).onNews(0, params);
    expect(onNews({ ...ask, seen: 'a' })).toThrow(expect.objectContaining(code));
    expect(onNews({ ...ask, service: '' })).toThrow(expect.objectContaining(code));
    onNews(ask)();
    expect(fleet.vm(0).snapshot(0)).toEqual({});
    onNews({ ...ask, seen: [odd, ['b', [1, 0, 8, 2.5, 0]]] })();
    const { s: known } = fleet.vm(0).snapshot(0) as { s: { runners: object } };
    expect(Object.keys(known.runners)).toEqual(['b']);
  });
});

/** Many memberships in one process under virtual time, with a network that can be cut. */

import { Membership } from '../../../src/core/membership/membership';
import type {
  MemberState,
  MembershipAction,
  MembershipEvent,
  Packet,
} from '../../../src/core/membership/types';
import { Schedule } from './schedule';
import { seeded } from './workload';

/** How one member sees the fleet. */
export interface View {
  readonly alive: number;
  state(vm: string): MemberState | undefined;
}

interface Node {
  readonly number: number;
  readonly membership: Membership;
  dead: boolean;
  frozen: boolean;
  /** Packets that came while it was frozen. */
  readonly unread: Packet[];
  wakeAt: number;
  readonly revisions: Map<string, number>;
}

/** Traffic and time of all members. */
export interface FleetCost {
  readonly packets: number;
  readonly bytes: number;
  /** Processor time in the core, in milliseconds. */
  readonly cpuMs: number;
}

const HOP_MS = 1.5;
const PROBE_MS = 1000;
const SUSPECT_MS = 2000;

/** A fleet. */
export class Fleet {
  readonly #nodes: Node[];

  readonly #schedule = new Schedule();

  readonly #sizeOf: ((packet: Packet) => number) | undefined;

  #side: ((vm: number) => boolean) | undefined;

  #oneWay: readonly [number, number] | undefined;

  #now = 0;

  #packets = 0;

  #bytes = 0;

  /**
   * @param size number of members
   * @param seed of the random source
   * @param sizeOf bytes of a packet on the wire, if they are to be counted
   */
  constructor(size: number, seed: number, sizeOf?: (packet: Packet) => number) {
    this.#sizeOf = sizeOf;
    const random = seeded(seed);
    this.#nodes = Array.from({ length: size }, (_, number) => ({
      number,
      membership: new Membership({
        vm: `vm${number}`,
        domain: `domain-${number % 3}`,
        address: `${number}:1`,
        cores: 1,
        probeMs: PROBE_MS,
        suspectMs: SUSPECT_MS,
        random,
        incarnation: 1,
      }),
      dead: false,
      frozen: false,
      unread: [],
      wakeAt: random() * PROBE_MS,
      revisions: new Map(),
    }));
    const vms = this.#nodes.map(({ number }) => ({
      vm: `vm${number}`,
      address: `${number}:1`,
      leaving: false,
    }));
    for (const node of this.#nodes) {
      const gateways = [`10.0.0.${node.number}:8080`];
      this.#schedule.add(node.wakeAt, () => {
        const description = { gateways, draining: false, storeLost: false };
        this.#tell(node, { kind: 'described', description });
        this.#tell(node, { kind: 'listed', vms });
      });
      this.#wakeLater(node);
    }
  }

  get cost(): FleetCost {
    return { packets: this.#packets, bytes: this.#bytes, cpuMs: process.cpuUsage().user / 1000 };
  }

  /** Views of the members that live. */
  views(): readonly View[] {
    return this.#nodes
      .filter(({ dead, frozen }) => !dead && !frozen)
      .map(({ number }) => this.viewOf(number));
  }

  viewOf(number: number): View {
    const { membership } = this.#nodes[number] as Node;
    const alive = membership.all.filter(
      ({ state, incarnation }) => state === 'alive' && incarnation >= 0,
    ).length;
    return { alive, state: (vm) => membership.get(vm)?.state };
  }

  /** Members that live and that another living one holds for dead. */
  wronglyDead(): number {
    const living = this.#nodes.filter(({ dead }) => !dead);
    return living.filter(({ number }) =>
      living.some((other) => other.membership.get(`vm${number}`)?.state === 'dead'),
    ).length;
  }

  kill(number: number): void {
    (this.#nodes[number] as Node).dead = true;
  }

  freeze(number: number, frozen: boolean): void {
    const node = this.#nodes[number] as Node;
    node.frozen = frozen;
    if (frozen) return;
    this.#tell(node, { kind: 'woke' });
    for (const packet of node.unread.splice(0)) this.#tell(node, { kind: 'packet', packet });
    this.#wakeLater(node);
  }

  /** Cuts the fleet into two sides, or heals it. */
  cut(side: ((vm: number) => boolean) | undefined): void {
    this.#side = side;
  }

  cutOneWay(from: number, to: number): void {
    this.#oneWay = [from, to];
  }

  leave(number: number): void {
    const node = this.#nodes[number] as Node;
    this.#tell(node, { kind: 'leaving' });
    node.dead = true;
  }

  run(ms: number): void {
    this.runUntil(() => false, ms);
  }

  /** Runs until a condition holds and gives the time that took, or the limit. */
  runUntil(holds: () => boolean, limitMs: number): number {
    const began = this.#now;
    let looked = this.#now;
    while (this.#schedule.next() <= began + limitMs) {
      this.#now = this.#schedule.next();
      this.#schedule.run();
      if (this.#now - looked >= 50) {
        looked = this.#now;
        if (holds()) return this.#now - began;
      }
    }
    this.#now = began + limitMs;
    return limitMs;
  }

  /** Puts a revision in force on one member and gives the time until all have it. */
  spread(path: string, revision: number): number {
    this.#hear(this.#nodes[0] as Node, path, revision);
    return this.runUntil(
      () => this.#nodes.every(({ dead, revisions }) => dead || revisions.get(path) === revision),
      60_000,
    );
  }

  #hear(node: Node, path: string, revision: number): void {
    if ((node.revisions.get(path) ?? 0) >= revision) return;
    node.revisions.set(path, revision);
    this.#tell(node, { kind: 'rumours', rumours: [{ path, revision }] });
  }

  #tell(node: Node, event: MembershipEvent): void {
    for (const action of node.membership.handle(this.#now, event)) this.#perform(node, action);
  }

  #perform(node: Node, action: MembershipAction): void {
    if (action.kind === 'send') this.#send(node, Number.parseInt(action.to, 10), action.packet);
    // A member that hears a rumour fetches the document: one more hop there and back.
    if (action.kind === 'heard') {
      const { path, revision } = action.rumour;
      this.#schedule.add(this.#now + 2 * HOP_MS, () => this.#hear(node, path, revision));
    }
  }

  #send({ number }: Node, to: number, packet: Packet): void {
    this.#packets += 1;
    this.#bytes += this.#sizeOf?.(packet) ?? 0;
    const target = this.#nodes[to];
    const cut = this.#side !== undefined && this.#side(number) !== this.#side(to);
    const oneWay = this.#oneWay?.[0] === number && this.#oneWay[1] === to;
    if (!target || cut || oneWay) return;
    this.#schedule.add(this.#now + HOP_MS, () => {
      if (target.dead) return;
      if (target.frozen) target.unread.push(packet);
      else this.#tell(target, { kind: 'packet', packet });
    });
  }

  #wakeLater(node: Node): void {
    const at = Math.max(this.#now + 1, node.membership.nextWake());
    this.#schedule.add(at, () => {
      if (node.dead || node.frozen) return;
      this.#tell(node, { kind: 'woke' });
      this.#wakeLater(node);
    });
  }
}

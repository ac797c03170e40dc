/** Simulates many memberships in one process under virtual time, with a network that can be partitioned. */

import { Membership } from '../../../src/core/membership/membership';
import type {
  MemberState,
  MembershipAction,
  MembershipEvent,
  Packet,
} from '../../../src/core/membership/types';
import { Schedule } from './schedule';
import { seeded } from './workload';

/** One member's view of the fleet. */
export interface MemberView {
  /** Number of members that it considers alive. */
  readonly alive: number;
  /** State of a member; undefined if unknown. */
  state(vm: string): MemberState | undefined;
}

interface Node {
  readonly number: number;
  readonly membership: Membership;
  dead: boolean;
  frozen: boolean;
  /** Packets that arrived while it was frozen. */
  readonly unread: Packet[];
  wakeAt: number;
  readonly revisions: Map<string, number>;
}

/** Network traffic and processor time of all members. */
export interface FleetCost {
  readonly packets: number;
  readonly bytes: number;
  /** User processor time of this process, in milliseconds. */
  readonly cpuMs: number;
}

const HOP_MS = 1.5;
const PROBE_MS = 1000;
const SUSPECT_MS = 2000;

/** A simulated fleet of members. */
export class Fleet {
  readonly #nodes: Node[];

  readonly #schedule = new Schedule();

  readonly #sizeOf: ((packet: Packet) => number) | undefined;

  #side: ((vm: number) => boolean) | undefined;

  #cutLink: readonly [number, number] | undefined;

  #now = 0;

  #packets = 0;

  #bytes = 0;

  /**
   * @param size number of members
   * @param seed seed of the random source
   * @param sizeOf returns the size of a packet on the wire in bytes; if omitted, bytes are not counted
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
        this.#dispatch(node, { kind: 'described', description });
        this.#dispatch(node, { kind: 'listed', vms });
      });
      this.#scheduleWake(node);
    }
  }

  get cost(): FleetCost {
    return { packets: this.#packets, bytes: this.#bytes, cpuMs: process.cpuUsage().user / 1000 };
  }

  /** Views of the running members. */
  views(): readonly MemberView[] {
    return this.#nodes
      .filter(({ dead, frozen }) => !dead && !frozen)
      .map(({ number }) => this.viewOf(number));
  }

  viewOf(number: number): MemberView {
    const { membership } = this.#nodes[number] as Node;
    const alive = membership.all.filter(
      ({ state, incarnation }) => state === 'alive' && incarnation >= 0,
    ).length;
    return { alive, state: (vm) => membership.get(vm)?.state };
  }

  /** Number of live members that another live member considers dead. */
  falselyDead(): number {
    const live = this.#nodes.filter(({ dead }) => !dead);
    return live.filter(({ number }) =>
      live.some((other) => other.membership.get(`vm${number}`)?.state === 'dead'),
    ).length;
  }

  kill(number: number): void {
    (this.#nodes[number] as Node).dead = true;
  }

  freeze(number: number, frozen: boolean): void {
    const node = this.#nodes[number] as Node;
    node.frozen = frozen;
    if (frozen) return;
    this.#dispatch(node, { kind: 'woke' });
    for (const packet of node.unread.splice(0)) this.#dispatch(node, { kind: 'packet', packet });
    this.#scheduleWake(node);
  }

  /** Partitions the fleet into two sides; undefined ends the partition. */
  cut(side: ((vm: number) => boolean) | undefined): void {
    this.#side = side;
  }

  /** Drops all packets from one member to another. */
  cutLink(from: number, to: number): void {
    this.#cutLink = [from, to];
  }

  /** Makes a member leave the fleet gracefully. */
  leave(number: number): void {
    const node = this.#nodes[number] as Node;
    this.#dispatch(node, { kind: 'leaving' });
    node.dead = true;
  }

  run(ms: number): void {
    this.runUntil(() => false, ms);
  }

  /** Runs until a condition holds; returns the time that took, or the limit. */
  runUntil(condition: () => boolean, limitMs: number): number {
    const startedAt = this.#now;
    let checkedAt = this.#now;
    while (this.#schedule.next() <= startedAt + limitMs) {
      this.#now = this.#schedule.next();
      this.#schedule.run();
      if (this.#now - checkedAt >= 50) {
        checkedAt = this.#now;
        if (condition()) return this.#now - startedAt;
      }
    }
    this.#now = startedAt + limitMs;
    return limitMs;
  }

  /** Applies a revision of a document at one member; returns the time until all live members have it, in milliseconds. */
  timeToSpread(path: string, revision: number): number {
    this.#applyRevision(this.#nodes[0] as Node, path, revision);
    return this.runUntil(
      () => this.#nodes.every(({ dead, revisions }) => dead || revisions.get(path) === revision),
      60_000,
    );
  }

  #applyRevision(node: Node, path: string, revision: number): void {
    if ((node.revisions.get(path) ?? 0) >= revision) return;
    node.revisions.set(path, revision);
    this.#dispatch(node, { kind: 'rumours', rumours: [{ path, revision }] });
  }

  #dispatch(node: Node, event: MembershipEvent): void {
    for (const action of node.membership.handle(this.#now, event)) this.#perform(node, action);
  }

  #perform(node: Node, action: MembershipAction): void {
    if (action.kind === 'send') this.#send(node, Number.parseInt(action.to, 10), action.packet);
    // A member that receives an update fetches the document, which takes one round trip.
    if (action.kind === 'heard') {
      const { path, revision } = action.rumour;
      this.#schedule.add(this.#now + 2 * HOP_MS, () => this.#applyRevision(node, path, revision));
    }
  }

  #send({ number }: Node, to: number, packet: Packet): void {
    this.#packets += 1;
    this.#bytes += this.#sizeOf?.(packet) ?? 0;
    const target = this.#nodes[to];
    const cut = this.#side !== undefined && this.#side(number) !== this.#side(to);
    const oneWay = this.#cutLink?.[0] === number && this.#cutLink[1] === to;
    if (!target || cut || oneWay) return;
    this.#schedule.add(this.#now + HOP_MS, () => {
      if (target.dead) return;
      if (target.frozen) target.unread.push(packet);
      else this.#dispatch(target, { kind: 'packet', packet });
    });
  }

  #scheduleWake(node: Node): void {
    const at = Math.max(this.#now + 1, node.membership.nextWake());
    this.#schedule.add(at, () => {
      if (node.dead || node.frozen) return;
      this.#dispatch(node, { kind: 'woke' });
      this.#scheduleWake(node);
    });
  }
}

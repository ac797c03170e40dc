/** Membership over UDP: carries packets and timers for the membership core. */

import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';

import { Packr } from 'msgpackr';
import type { Logger } from 'pino';
import { z } from 'zod';

import { Membership } from '../../core/membership/membership';
import type {
  Member,
  MembershipAction,
  MembershipEvent,
  MembershipOptions,
  Packet,
  GossipUpdate,
} from '../../core/membership/types';
import type { FreshnessProof } from '../../core/routing/freshness';
import type { Metrics } from '../metrics';

/** What the rest of the scheduler hears from membership. */
export interface MembershipListener {
  onChange(member: Member): void;
  onUpdate(rumour: GossipUpdate, address: string): void;
  onDigestDiffers(address: string): void;
}

/** How members tell each other of the age of what they know; see `Freshness`. */
export interface FreshnessExchange {
  /** Default: this one has no proof. */
  currentProof(): FreshnessProof | undefined;
  /** This member asks another one. */
  onPingSent(seq: number): void;
  /** What it asked is answered. */
  onAckReceived(seq: number, proof: FreshnessProof): void;
}

/** How to start. */
export interface MembershipDriverOptions {
  readonly membership: MembershipOptions;
  readonly host: string;
  readonly port: number;
  readonly key: string;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly listener: MembershipListener;
  /** Default: nothing of the kind is told. */
  readonly proofs?: FreshnessExchange;
}

const TAG_BYTES = 16;

/** A member on the wire. */
export const memberSchema = z.object({
  vm: z.string().max(64),
  domain: z.string().max(64),
  address: z.string().max(100),
  incarnation: z.number(),
  state: z.enum(['alive', 'suspect', 'left', 'dead']),
  draining: z.boolean(),
  gateways: z.array(z.string().max(100)).max(16),
  cores: z.number(),
  storeLost: z.boolean(),
});
const packetSchema = z.object({
  kind: z.enum(['ping', 'ack', 'probe', 'news']),
  seq: z.int(),
  from: z.string().max(64),
  address: z.string().max(100),
  target: z.string().max(100).optional(),
  digest: z.string().max(40),
  proof: z.object({ version: z.number(), ageMs: z.number().min(0) }).optional(),
  members: z.array(memberSchema).max(16),
  rumours: z
    .array(
      z.object({
        path: z.string().max(300),
        revision: z.int(),
        text: z.string().max(4000).optional(),
      }),
    )
    .max(32),
});

const packr = new Packr({ useRecords: false });

/** Owns the UDP socket and the timer. */
export class MembershipDriver {
  readonly members: Membership;

  readonly #options: MembershipDriverOptions;

  readonly #socket: Socket;

  #timer: NodeJS.Timeout | undefined;

  #stopped = false;

  constructor(options: MembershipDriverOptions) {
    this.#options = options;
    this.members = new Membership(options.membership);
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (data) => this.#receive(data));
    this.#socket.on('error', (error) =>
      options.log.error(`The probe socket failed. ${error.message}.`),
    );
  }

  start(): Promise<void> {
    const { host, port } = this.#options;
    return new Promise((resolve, reject) => {
      this.#socket.once('error', reject);
      this.#socket.bind(port, host, () => {
        this.handle({ kind: 'woke' });
        resolve();
      });
    });
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  /** Hands an event to the core and carries out what it wants. */
  handle(event: MembershipEvent): void {
    if (this.#stopped) return;
    const actions = this.members.handle(performance.now(), event);
    for (const action of actions) this.#perform(action);
    clearTimeout(this.#timer);
    const wait = Math.max(1, this.members.nextWake() - performance.now());
    this.#timer = setTimeout(() => this.handle({ kind: 'woke' }), wait);
  }

  #perform(action: MembershipAction): void {
    const { listener } = this.#options;
    if (action.kind === 'send') this.#send(action.to, action.packet);
    else if (action.kind === 'changed') listener.onChange(action.member);
    else if (action.kind === 'heard') listener.onUpdate(action.rumour, action.address);
    else listener.onDigestDiffers(action.address);
  }

  #send(to: string, packet: Packet): void {
    const [host = '', port = '0'] = to.split(':');
    const { proofs } = this.#options;
    if (packet.kind === 'ping') proofs?.onPingSent(packet.seq);
    const proof = proofs?.currentProof();
    const body = packr.pack(proof ? { ...packet, proof } : packet);
    const data = Buffer.concat([this.#tag(body), body]);
    this.#options.metrics.count('members.packets');
    this.#options.metrics.count('members.bytes', data.length);
    // A datagram that cannot be sent is a lost datagram, which probing bears.
    this.#socket.send(data, Number(port), host, () => {});
  }

  #receive(data: Buffer): void {
    const body = data.subarray(TAG_BYTES);
    const tag = data.subarray(0, TAG_BYTES);
    if (tag.length < TAG_BYTES || !timingSafeEqual(tag, this.#tag(body))) {
      this.#options.metrics.count('members.rejected');
      return;
    }
    const packet = packetSchema.safeParse(packr.unpack(body));
    if (packet.success) this.#take(packet.data);
    else this.#options.metrics.count('members.rejected');
  }

  #take({ proof, ...packet }: z.infer<typeof packetSchema>): void {
    if (proof && packet.kind === 'ack') this.#options.proofs?.onAckReceived(packet.seq, proof);
    this.handle({ kind: 'packet', packet });
  }

  /** Without the tag, anyone on the network could have members called dead. */
  #tag(body: Buffer): Buffer {
    return createHmac('sha256', this.#options.key).update(body).digest().subarray(0, TAG_BYTES);
  }
}

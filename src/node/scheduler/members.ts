/** Membership over UDP: sends and receives packets and runs the timer of the membership protocol. */

import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';

import { Packr } from 'msgpackr';
import type { Logger } from 'pino';
import { z } from 'zod';

import { Membership } from '../../core/membership/membership';
import { MAX_PATH_CHARS, MAX_TEXT_CHARS } from '../../core/membership/outbox';
import type {
  Member,
  MembershipAction,
  MembershipEvent,
  MembershipOptions,
  Packet,
  GossipUpdate,
} from '../../core/membership/types';
import { MAX_DIGEST_CHARS } from '../../core/routing/digest';
import type { FreshnessProof } from '../../core/routing/freshness';
import type { Metrics } from '../metrics';
import { listOf } from '../wire';

/** Callbacks for changes that the membership protocol detects. */
export interface MembershipListener {
  /** A member was added or its state or description changed. */
  onChange(member: Member): void;
  /** The member at the address announced a new revision. */
  onUpdate(rumour: GossipUpdate, address: string): void;
  /** The digest of the member at the address differs, so it may have newer settings. */
  onDigestDiffers(address: string, digest: string): void;
}

/** Exchange of freshness proofs over pings and acknowledgements; see `Freshness`. */
export interface FreshnessExchange {
  /** Proof to send with a packet; undefined if this member has none. */
  currentProof(): FreshnessProof | undefined;
  /** Called when this member sends the ping `seq`, which asks for a proof. */
  onPingSent(seq: number): void;
  /** Called when the acknowledgement of the ping `seq` carries a proof. */
  onAckReceived(seq: number, proof: FreshnessProof): void;
}

/** Options of a `MembershipDriver`. */
export interface MembershipDriverOptions {
  readonly membership: MembershipOptions;
  readonly host: string;
  /** UDP port. */
  readonly port: number;
  /** Key that authenticates packets; the same in the whole fleet. */
  readonly key: string;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly listener: MembershipListener;
  /** Without it, no freshness proofs are exchanged. */
  readonly proofs?: FreshnessExchange;
}

/** Length of the authentication tag before each packet, in bytes. */
const TAG_BYTES = 16;

/** Schema of a member in a packet. */
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
  digest: z.string().max(MAX_DIGEST_CHARS),
  proof: z.object({ version: z.number(), ageMs: z.number().min(0) }).optional(),
  members: listOf(memberSchema, 16),
  rumours: listOf(
    z.object({
      path: z.string().max(MAX_PATH_CHARS),
      revision: z.int(),
      text: z.string().max(MAX_TEXT_CHARS).optional(),
    }),
    32,
  ),
});

const packr = new Packr({ useRecords: false });

/** Runs the membership protocol with its UDP socket and timer. Times are in milliseconds of `performance.now()`. */
export class MembershipDriver {
  /** The protocol's state: all known members. */
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

  /** Binds the socket and starts probing; rejects if the port cannot be bound. */
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

  /** Stops the timer and closes the socket. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  /** Passes an event to the membership protocol and performs the resulting actions. Does nothing after `stop`. */
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
    else listener.onDigestDiffers(action.address, action.digest);
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
    // Send errors are ignored: the protocol tolerates lost datagrams.
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
    if (packet.success) this.#accept(packet.data);
    else this.#options.metrics.count('members.rejected');
  }

  #accept({ proof, ...packet }: z.infer<typeof packetSchema>): void {
    if (proof && packet.kind === 'ack') this.#options.proofs?.onAckReceived(packet.seq, proof);
    this.handle({ kind: 'packet', packet });
  }

  /** Authentication tag of a packet. Without it, any host on the network could report members as dead. */
  #tag(body: Buffer): Buffer {
    return createHmac('sha256', this.#options.key).update(body).digest().subarray(0, TAG_BYTES);
  }
}

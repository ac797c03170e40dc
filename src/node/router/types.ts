/** Interfaces between the router and its adapters to the platform. */

import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import type { AgeBounds, Credential } from '../../core/customers/identity';
import type { BufferBounds } from '../../core/delivery/buffers';
import type { QuotaBounds } from '../../core/quotas/account';
import type { MemoryReport } from '../../core/memory/types';
import type { Suspect } from '../../core/quarantine/types';
import type { RunnerLoad } from '../../core/plain/types';
import type { RateNotice } from '../../core/ratelimits/types';
import type { Destination, Path } from '../../core/paths/table';
import type { RunnerRecord } from '../../core/routing/directory';
import type { RunnerNotice } from '../../core/routing/notice';
import type { Position } from '../../core/routing/position';
import type { RetryBounds } from '../../core/retries/budget';
import type { Runner, RoutingConfig } from '../../core/routing/types';
import type { AnswerHead } from '../../core/stream/answer';
import type { RunnerState } from '../../core/stream/silence';
import type { VersionRecord, VersionsByService } from '../../core/versions/types';
import type { Failure } from '../../core/failure';

/** Settings of one router process, with defaults applied. */
export interface RouterSettings {
  readonly vm: string;
  readonly domain: string;
  /** Addresses to listen on, as `HOST:PORT`. */
  readonly listen: {
    readonly front: string;
    readonly ready: string | undefined;
    readonly directory: string | undefined;
    readonly metrics: string | undefined;
  };
  /** Address for connections and membership probes between VMs, as `HOST:PORT`. */
  readonly peer: string;
  /** Peer addresses through which this VM joins the fleet. */
  readonly seeds: readonly string[];
  /** Shared key that authenticates VMs to each other. */
  readonly peerKey: string;
  /** Processor cores of this VM; may be a fraction. */
  readonly cores: number;
  /** Whether the whole fleet starts for the first time, so that no process of this VM ran before. */
  readonly isFirstStart: boolean;
  readonly retries: RetryBounds;
  readonly ages: AgeBounds;
  readonly quotas: QuotaBounds;
  /** By how much all VMs together may exceed the rate limit of a runner. */
  readonly rateLimits: QuotaBounds;
  /** What this VM buffers for callers that read slowly. */
  readonly buffers: BufferBounds;
  /** Time between the termination signal and the kill, in milliseconds. */
  readonly graceMs: number;
  /** Duration of the lease for role orders, in milliseconds: no other VM can acquire it meanwhile. */
  readonly leaseMs: number;
  /** Interval at which runners write their entries in the store. */
  readonly heartbeatMs: number;
  /** How long callers may cache a directory answer, in milliseconds. */
  readonly addressTtlMs: number;
}

/** Token counts and prompt id that the caller of a model sends with its request. */
export interface Usage {
  /** Identifies the prompt across all attempts of the caller. */
  readonly promptId: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Output length that the caller expects; undefined if it gives no hint. */
  readonly hintTokens: number | undefined;
}

/** The stream that a request continues for its caller. */
export interface Continuation {
  /** Id of the request that brought the stream's first event; undefined if the caller names none. */
  readonly stream: string | undefined;
  /** Id of the last event that the caller has; undefined if it names none. */
  readonly afterEvent: string | undefined;
}

/** A request of a caller, with its whole body. */
export interface CallRequest {
  readonly id: string;
  readonly host: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  /** Alternating names and values, without hop-by-hop headers and those that the router sets itself. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** How long the caller waits for the answer, in milliseconds; undefined means the route's timeout. */
  readonly deadlineMs: number | undefined;
  /** Undefined if the caller sent none. */
  readonly usage: Usage | undefined;
  /**
   * Ids of the parts of the prompt, in order. Requests share parts; the last one belongs to the
   * request or its session. Empty if the caller names none.
   */
  readonly promptParts: readonly string[];
  /** Name of the model; empty if the caller names none. */
  readonly model: string;
  /** Undefined if the caller has no part of the answer yet. */
  readonly continues: Continuation | undefined;
  readonly credential: Credential;
  /** Customer name that is passed on to runners; undefined if the request belongs to none. */
  readonly customer: string | undefined;
  /**
   * Priority that is passed on to runners, the same in all attempts; 0 is the highest. Undefined if
   * the routes of the service have one priority. Default: undefined.
   */
  readonly priority?: number | undefined;
}

/** The KV cache of a prefilled prompt that a runner holds. */
export interface CacheHandle {
  readonly address: string;
  readonly handle: string;
}

/**
 * Whether a stalled connection may be given up now. A runner that is silent for a moment goes on,
 * so that this holds only if what replaces the request is certain.
 */
export type Abandonment = () => boolean;

/** One attempt of a request at a runner. */
export interface Dispatch {
  readonly runner: Runner;
  readonly request: CallRequest;
  /** Time that the runner has to answer, in milliseconds. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** See `RunnerTarget`. */
  readonly mayAbandon: Abandonment | undefined;
  /** Called with the head of the runner's answer, even if the body fails later. */
  readonly onReply: (reply: Reply) => void;
}

/** One attempt of a request at a decode runner. */
export interface DecodeDispatch extends Dispatch {
  /** Where the KV cache of the prompt is held; undefined makes the runner prefill the prompt itself. */
  readonly cache: CacheHandle | undefined;
  /** Id of the last event that the caller received; undefined if it received none. */
  readonly afterEvent: string | undefined;
}

/** A runner's answer whose headers have arrived. */
export interface Reply extends AnswerHead {
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  /** Whether the signature proves that this is the runner's answer to this request. */
  readonly genuine: boolean;
  /** Whether the runner states that it has not run the request and will not run it. */
  readonly notRun: boolean;
  /**
   * Whether another runner answered than the intended one, or one whose service or role has
   * changed; implies `notRun`.
   */
  readonly misdirected: boolean;
  readonly rateNotice: RateNotice;
  /** The load that the runner reports; undefined if it reports none or an unreadable one. */
  readonly load: RunnerLoad | undefined;
  readonly notice: RunnerNotice;
  /** Peer address of the VM that forwarded the request; undefined if it went directly. */
  readonly via: string | undefined;
  /** The tunnel through that VM. Default: none. */
  readonly tunnel?: Tunnel | undefined;
  readonly body: IncomingMessage;
}

/** What a connection to a runner is for. */
export interface RunnerTarget extends Destination {
  /** Id of the caller's request; undefined for calls of the router itself. */
  readonly request: string | undefined;
  /** Asked when the connection has stalled on a lost path; undefined if it must never be given up. */
  readonly mayAbandon: Abandonment | undefined;
}

/** A tunnel through another VM, as the VM knows it that asked for it. */
export interface Tunnel {
  /** Id by which the other VM tells how it ended. */
  readonly id: string;
  /** Number of the runner's bytes that have arrived. */
  arrivedBytes(): number;
}

/** A connection to a runner. */
export interface RunnerConnection {
  readonly socket: Socket;
  /** Peer address of the VM that forwards it; undefined if it is direct. */
  readonly via: string | undefined;
  /** The tunnel through that VM. Default: none. */
  readonly tunnel?: Tunnel;
}

/** What this VM reaches, by which runners are chosen. */
export interface RunnerPaths {
  /** How this VM reaches a runner. */
  pathTo(runner: Pick<Runner, 'address'>): Path;
  /** Whether this VM reaches a runner, directly or through another VM. */
  reaches(runner: Pick<Runner, 'address'>): boolean;
  /**
   * Whether this VM, not the runner, is at fault: another VM has reached the runner since the
   * direct path was lost, and a direct connection that began later failed. A runner that is silent
   * is reached by none.
   */
  isCutOff(runner: Pick<Runner, 'address'>): boolean;
  /**
   * Whether a runner that is out of reach may be a sound one that is silent for a moment. It is not
   * if this VM has lost its paths to most runners, so that other VMs serve callers better.
   */
  mayGoOn(now: number, runner: Pick<Runner, 'address'>): boolean;
  /**
   * Whether a failure of a request to a runner is the runner's. It is not if the direct path was
   * lost under the request, if no VM forwarded it, or if this VM reaches hardly any runner.
   */
  isAtFault(now: number, runner: Pick<Runner, 'address'>, sentAt: number): boolean;
}

/** Opens connections to runners. Rejects with `runnerUnreachable`; nothing was sent then. */
export interface RunnerConnector {
  /** Connects directly, or through another VM that reaches the runner. */
  connect(target: RunnerTarget, signal: AbortSignal): Promise<RunnerConnection>;
  /** Connects directly, if the path is not lost. */
  connectDirectly(target: RunnerTarget): Promise<Socket>;
}

/** Status that a runner reports about itself. */
export interface RunnerReport extends MemoryReport {
  /** When the runner's instance started, in Unix milliseconds; 0 if it does not report that. */
  readonly bornAt: number;
  /** Whether it announces that it leaves. */
  readonly leaving: boolean;
}

/** Client of the runners. Its promises reject with a `Failure`: `runnerUnreachable` if nothing was sent. */
export interface RunnerClient {
  /** Sends a plain request. */
  send(dispatch: Dispatch): Promise<Reply>;
  /** Starts to decode; the answer's body streams the events. */
  decode(dispatch: DecodeDispatch): Promise<Reply>;
  /** Has the runner prefill the prompt and keep its KV cache. */
  prefill(dispatch: Dispatch): Promise<CacheHandle>;
  /** Releases a KV cache. */
  freeCache(cache: CacheHandle): Promise<void>;
  report(runner: Runner): Promise<RunnerReport>;
  /**
   * Whether a runner's process runs: it is gone if another instance answers, or if its address refuses
   * connections. Never rejects.
   * @param mayCall whether it may be sent a call; otherwise it runs if it accepts connections. Default: it may
   */
  stateOf(runner: Runner, mayCall?: boolean): Promise<RunnerState>;
  /**
   * Orders a runner to switch its role; `holder` and `fence` identify the lease under which the
   * order is given.
   */
  order(
    runner: Runner,
    role: 'prefill' | 'decode',
    holder: string,
    fence: number,
  ): Promise<OrderOutcome>;
}

/**
 * Outcome of a role order; an `unknown` one may still be carried out seconds later. None is sent to
 * a `leaving` runner.
 */
export type OrderOutcome = 'accepted' | 'rejected' | 'unknown' | 'leaving';

/** The lease under which one VM at a time gives role orders. */
export interface OrderLease {
  /** Fencing token; increases with each holder. */
  readonly fence: number;
  /** Whether no other VM held the lease before. */
  readonly fresh: boolean;
  /** Extends the lease; resolves to whether it is still held. */
  renew(): Promise<boolean>;
  release(): Promise<void>;
}

/** The lock that grants the lease for role orders. */
export interface OrderLock {
  /** Resolves to undefined if another VM holds the lease. */
  acquire(): Promise<OrderLease | undefined>;
}

/** Persistent storage of quarantined requests, which survives a restart of all VMs. */
export interface SuspectArchive {
  /** @param keptMs time after which the entry expires, in milliseconds */
  save(suspect: Suspect, keptMs: number): Promise<void>;
}

/**
 * Persistent record of the software versions that served each service lately, which survives a
 * restart of all VMs.
 */
export interface VersionArchive {
  /**
   * Replaces the record, unless it has changed.
   * @param revision revision of the record that is replaced; 0 if there is none
   * @returns the revision of the new record; undefined if another one is stored by now
   */
  save(versions: VersionsByService, revision: number): Promise<number | undefined>;
}

/** Persistent record of the number of VMs, which survives a restart of all VMs. */
export interface FleetSizeArchive {
  save(vms: number): Promise<void>;
}

/** Receives what a feed reads from the store. */
export interface FeedListener {
  onConfig(config: RoutingConfig): void;
  /** Called after `onVersions` if one read brings both. */
  onRunners(facts: readonly RunnerRecord[]): void;
  /** The store is in another era than the last known one. Called before the store's content is delivered. */
  onEra(start: Position): void;
  /** The ids of all listed runners as of a position of the store. Called at the end of a full read. */
  onListed(ids: ReadonlySet<string>, position: Position): void;
  onVms(vms: readonly { readonly vm: string; readonly address: string }[]): void;
  /** Quarantined requests that VMs saved; `isAll` if the store holds no others. */
  onSuspects(suspects: readonly Suspect[], isAll: boolean): void;
  /**
   * The record of the software versions that served each service lately; undefined if there is none.
   * @param isAll whether it is part of a full read
   */
  onVersions(record: VersionRecord | undefined, isAll: boolean): void;
  /** The number of VMs that was saved; 0 if there is none. */
  onFleetSize(vms: number): void;
  /**
   * Confirms freshness: the configuration delivered before was in force when the store was asked.
   * @param askedAt boot time of the call; see `bootNow`
   */
  onConfirmed(askedAt: number): void;
  /** Called after each call to the store with whether it succeeded. */
  onStore(up: boolean, detail: string): void;
}

/** Source of configuration, runners and VMs. */
export interface Feed {
  /** Sets the listener; nothing is read until `setReading`. */
  start(listener: FeedListener): void;
  /** Asks once for the configuration in force; does nothing while such a call is pending. */
  confirmConfig(): void;
  /** Starts to read the whole content and then its changes, or stops after the pending call. */
  setReading(reading: boolean): void;
  /** Must be called when this VM leaves: other VMs no longer find it by the source. */
  leave(): void;
  stop(): void;
}

/** Decodes callers' requests and encodes the router's own answers. */
export interface IngressCodec {
  /** The id of the request in logs, taken before any validation; undefined if it has none. */
  idOf(message: IncomingMessage): string | undefined;
  /**
   * Decodes a request; throws a `badRequest` failure.
   * @param keyed whether requests carry API keys, which must not reach a runner
   */
  decode(message: IncomingMessage, body: Buffer, keyed: boolean): CallRequest;
  /** Headers of an error answer that the router generates. */
  refusalHeaders(failure: Failure, id: string | undefined): Readonly<Record<string, string>>;
}

/** Matches requests on the readiness and directory addresses and encodes look-up answers. */
export interface ControlCodec {
  isReadiness(message: IncomingMessage): boolean;
  isLookup(message: IncomingMessage): boolean;
  /** Failure domain of the caller of a look-up; empty if the request names none. */
  domainOf(message: IncomingMessage): string;
  lookupBody(addresses: readonly string[], ttlMs: number): string;
}

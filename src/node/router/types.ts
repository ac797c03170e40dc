/** What the router needs of the system around it; an adapter provides it. */

import type { IncomingMessage } from 'node:http';

import type { AgeBounds, Credential } from '../../core/customers/identity';
import type { QuotaBounds } from '../../core/quotas/account';
import type { MemoryReport } from '../../core/memory/types';
import type { Suspect } from '../../core/quarantine/types';
import type { RateNotice } from '../../core/ratelimits/types';
import type { RunnerRecord } from '../../core/routing/directory';
import type { Position } from '../../core/routing/position';
import type { RetryBounds } from '../../core/retries';
import type { Runner, RoutingConfig } from '../../core/routing/types';
import type { AnswerHead } from '../../core/stream/answer';
import type { Failure } from '../../core/failure';

/** Settings of one router process, resolved. */
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
  /** Address for links and probes between VMs. */
  readonly peer: string;
  /** Peer addresses of VMs that may be up already. */
  readonly seeds: readonly string[];
  readonly peerKey: string;
  /** Processor cores of this VM, as a part or a multiple of one. */
  readonly cores: number;
  readonly retries: RetryBounds;
  readonly ages: AgeBounds;
  readonly quotas: QuotaBounds;
  /** By how much all VMs together may be over the rate limit of a runner. */
  readonly rateLimits: QuotaBounds;
  /** Time between the signal to stop and the kill, in milliseconds. */
  readonly graceMs: number;
  /** Time for which holders of the right to give orders may not take turns, in milliseconds. */
  readonly leaseMs: number;
  /** How long callers may keep a directory answer, in milliseconds. */
  readonly addressTtlMs: number;
}

/** What the caller of a model tells of its request. */
export interface Usage {
  /** Names the prompt, the same in all tries of the caller. */
  readonly promptId: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly hintTokens: number | undefined;
}

/** A request as a caller sent it, whole. */
export interface CallRequest {
  readonly id: string;
  readonly host: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  /** Names and values by turns, without those that concern one connection or are the router's to set. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Time that the caller will wait. Default: the route's. */
  readonly deadlineMs: number | undefined;
  /** Default: the caller told none. */
  readonly usage: Usage | undefined;
  readonly credential: Credential;
  /** Whose it is, as runners are told. Default: nobody's. */
  readonly customer: string | undefined;
}

/** A prefilled prompt that lies at a runner. */
export interface CacheHandle {
  readonly address: string;
  readonly handle: string;
}

/** A request for one runner. */
export interface Dispatch {
  readonly runner: Runner;
  readonly request: CallRequest;
  /** Time that the runner has. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** Called with the head of the runner's answer, whatever becomes of its body. */
  readonly onReply: (reply: Reply) => void;
}

/** A request for a decode runner. */
export interface DecodeDispatch extends Dispatch {
  /** Where the prompt lies; without one the runner reads it itself. */
  readonly cache: CacheHandle | undefined;
  /** Id of the last event that the caller has. Default: it has none. */
  readonly afterEvent: string | undefined;
}

/** A runner's answer, once its header is there. */
export interface Reply extends AnswerHead {
  /** Names and values by turns, without those that concern one connection. */
  readonly headers: readonly string[];
  /** Whether it is the runner's answer to this very request. */
  readonly genuine: boolean;
  /** The runner's word that it did not run the request and never will. */
  readonly notRun: boolean;
  /** The answer of another runner than the one meant, or of one that now does something else; implies `notRun`. */
  readonly misdirected: boolean;
  readonly rateNotice: RateNotice;
  readonly body: IncomingMessage;
}

/** What a runner says of itself. */
export interface RunnerReport extends MemoryReport {
  /** When it started, in Unix milliseconds; 0 where it does not tell. */
  readonly bornAt: number;
}

/** Client of the runners. Rejections are `Failure`s: `runnerUnreachable` if nothing was sent. */
export interface RunnerClient {
  send(dispatch: Dispatch): Promise<Reply>;
  decode(dispatch: DecodeDispatch): Promise<Reply>;
  /** Has the prompt read and its KV cache kept. */
  prefill(dispatch: Dispatch): Promise<CacheHandle>;
  freeCache(cache: CacheHandle): Promise<void>;
  report(runner: Runner): Promise<RunnerReport>;
  /** Orders a runner to prefill or to decode from now on. */
  order(
    runner: Runner,
    role: 'prefill' | 'decode',
    holder: string,
    fence: number,
  ): Promise<OrderOutcome>;
}

/** `unknown` orders may still be carried out seconds later. */
export type OrderOutcome = 'accepted' | 'rejected' | 'unknown';

/** The right to give orders, held by one VM at a time. */
export interface OrderLease {
  /** Grows with each holder. */
  readonly fence: number;
  /** Whether no other VM gave orders before. */
  readonly fresh: boolean;
  /** Whether the right still holds. */
  renew(): Promise<boolean>;
  release(): Promise<void>;
}

/** Where that right is taken. */
export interface OrderLock {
  /** Undefined if another VM holds it. */
  acquire(): Promise<OrderLease | undefined>;
}

/** Where requests that are refused outlast all VMs. */
export interface SuspectArchive {
  /** @param keptMs time after which it is forgotten, in milliseconds */
  save(suspect: Suspect, keptMs: number): Promise<void>;
}

/** What a feed of facts tells. */
export interface FeedListener {
  onConfig(config: RoutingConfig): void;
  onRunners(facts: readonly RunnerRecord[]): void;
  /** The store is of another era than was known. Told before what it holds. */
  onEra(start: Position): void;
  /** The full list of runners as of a position. */
  onListed(ids: ReadonlySet<string>, position: Position): void;
  onVms(vms: readonly { readonly vm: string; readonly address: string }[]): void;
  /** Requests that are refused, as some VM saved them; `isAll` if the store holds no others. */
  onSuspects(suspects: readonly Suspect[], isAll: boolean): void;
  /**
   * Told after what it holds: nothing else was in force when it was asked.
   * @param askedAt boot time; see `bootNow`
   */
  onConfirmed(askedAt: number): void;
  /** After each call to the store: whether it was answered. */
  onStore(up: boolean, detail: string): void;
}

/** Source of configuration, runners and VMs. */
export interface Feed {
  /** Nothing is read until `setReading`. */
  start(listener: FeedListener): void;
  /** Asks once for the configuration in force. Does nothing while it asks. */
  confirmConfig(): void;
  /** Begins to read everything and then changes, or ends that after the call under way. */
  setReading(reading: boolean): void;
  stop(): void;
}

/** Translates between callers and the router. */
export interface IngressCodec {
  /** The id under which logs name the request, before anything was checked. */
  idOf(message: IncomingMessage): string | undefined;
  /**
   * Rejects with `badRequest` by throwing.
   * @param keyed whether requests carry keys, which no runner may see
   */
  decode(message: IncomingMessage, body: Buffer, keyed: boolean): CallRequest;
  /** Headers of an answer of the router's own. */
  refusalHeaders(failure: Failure, id: string | undefined): Readonly<Record<string, string>>;
}

/** Whether a path on the ready or directory address is theirs, and the answer's body. */
export interface ControlCodec {
  isReadiness(message: IncomingMessage): boolean;
  isLookup(message: IncomingMessage): boolean;
  /** Failure domain of the caller of a look-up; empty if it tells none. */
  domainOf(message: IncomingMessage): string;
  lookupBody(addresses: readonly string[], ttlMs: number): string;
}

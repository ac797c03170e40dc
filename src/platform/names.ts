/** Names of the platform's protocol: headers, keys and paths. Used in this folder only. */

/** Header names in lower case, as Node reports them. */
export const header = {
  requestId: 'request-id',
  /** Time that the sender waits for the response, in milliseconds. */
  deadline: 'request-deadline-ms',
  /** In responses: the runner's signature of the body. A response without it does not come from a runner. */
  signature: 'server-signature',
  /** Listed id of the runner that may run the request. A later instance of the runner may have the same id. */
  expectedRunner: 'expected-instance',
  /** In responses: the request was not run and never will be. */
  notRun: 'not-executed',
  /** In responses: the rate limit of the runner for all VMs together, in requests per second. */
  rateLimit: 'server-limit',
  /** In responses: running and waiting requests, slots and, from some runners, the time that work takes in percent of the usual. */
  load: 'server-load',
  /** In responses: `1` if the runner leaves. */
  leaving: 'server-leaving',
  /** Number of prompt tokens and maximum number of output tokens, separated by a comma. */
  usage: 'token-usage',
  /** Parts of the prompt in order, each `ID:TOKENS`; the last one is specific to the request. */
  promptParts: 'prompt-prefix',
  model: 'model',
  lengthHint: 'length-hint',
  /** `prefill`: the runner only prefills the prompt and keeps its KV cache. */
  stage: 'serving-stage',
  /** `HOST:PORT/HANDLE` of the KV cache of a prefilled prompt. */
  cacheSource: 'kv-source',
  lastEvent: 'last-event-id',
  /** From callers that continue a stream: the id of the request that brought its first event. */
  resumes: 'resumes',
  /** In rejections: when to come back, in seconds. */
  retryAfter: 'retry-after',
  /** From callers: their API key. */
  authorization: 'authorization',
  /** To runners: the name of the customer that the caller's API key belongs to. */
  customer: 'tenant-id',
  /** To runners: priority from 0, the first, to 9; as 5 if it is absent. */
  priority: 'request-priority',
  /** In responses of the store: its era, which increases by one each time it is restored from an older copy. */
  era: 'store-era',
} as const;

/** Request headers that only the router may set; those from callers are dropped. */
export const routerHeaders: ReadonlySet<string> = new Set([
  header.deadline,
  header.expectedRunner,
  header.stage,
  header.cacheSource,
  header.customer,
  'expected-version',
  'kv-hold',
  'pin-ms',
  'kv-backup',
  'kv-fetch',
  header.priority,
]);

/** Hop-by-hop headers, which are not forwarded. */
export const connectionHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Keys in the store. */
export const key = {
  config: 'op/config',
  /** Followed by the runner's id. */
  runners: 'servers/',
  /** Followed by the VM's name; written by the router. */
  vms: 'goldcrestdock/vms/',
  orders: 'goldcrestdock/orders/',
  /** Followed by the fingerprint of a quarantined request; with a lease. */
  suspects: 'goldcrestdock/suspects/',
  /** The software versions that served each service lately. */
  versions: 'goldcrestdock/served',
  /** The number of VMs. */
  fleetSize: 'goldcrestdock/fleet',
  /** The VM that may give orders to runners; with a lease. */
  orderHolder: 'goldcrestdock/orders/holder',
  /** The VM that held this right last; without a lease. */
  orderLast: 'goldcrestdock/orders/last',
} as const;

/**
 * Keys of which the router uses one entry, in the order in which they are read: runners are held as the
 * record of versions says.
 */
export const singleKeys = [key.versions, key.config, key.fleetSize] as const;

export type SingleKey = (typeof singleKeys)[number];

/** URL paths; those that end with a slash are followed by an id. */
export const path = {
  readiness: '/v1/readiness',
  lookup: '/v1/lookup',
  key: '/v1/kv-key',
  range: '/v1/kv-range',
  watch: '/v1/kv-watch',
  txn: '/v1/kv-txn',
  lease: '/v1/kv-lease',
  keep: '/v1/kv-keep/',
  leaseEnd: '/v1/kv-lease-end/',
  order: '/v1/order',
  report: '/v1/report',
  cacheHandle: '/v1/kv-handle/',
} as const;

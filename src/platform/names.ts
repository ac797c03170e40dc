/** Names on the platform's wire. Nothing outside this folder knows them. */

/** Headers, in lower case as Node gives them. */
export const header = {
  requestId: 'request-id',
  /** Milliseconds that the sender will wait. */
  deadline: 'request-deadline-ms',
  /** On answers: the runner's signature over its body; an answer without it is not a runner's. */
  signature: 'server-signature',
  /** The listed id of the runner that may run the request; a later start may have it again. */
  expectedRunner: 'expected-instance',
  /** On answers: the request was not run and never will be. */
  notRun: 'not-executed',
  /** On answers: the requests a second that the runner takes from all VMs together. */
  rateLimit: 'server-limit',
  /** Prompt tokens and most output tokens. */
  usage: 'token-usage',
  /** Parts of the prompt in order, each `ID:TOKENS`; the last one is the request's own. */
  promptParts: 'prompt-prefix',
  lengthHint: 'length-hint',
  /** `prefill` has the prompt read and kept instead of running the request. */
  stage: 'serving-stage',
  /** `HOST:PORT/HANDLE` of a kept prompt. */
  cacheSource: 'kv-source',
  lastEvent: 'last-event-id',
  retryAfter: 'retry-after',
  /** From callers: their key. */
  authorization: 'authorization',
  /** To runners: the name of the customer that holds the caller's key. */
  customer: 'tenant-id',
  /** On the store's answers: how often it has come back from an older copy, one higher each time. */
  era: 'store-era',
} as const;

/** Request headers that are the router's to set; what a caller sent under these names is dropped. */
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
  'request-priority',
]);

/** Headers that concern one connection only. */
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
  /** Followed by the VM's name: the router's own. */
  vms: 'goldcrestdock/vms/',
  orders: 'goldcrestdock/orders/',
  /** Followed by a request's fingerprint, under a lease: requests that are refused. */
  suspects: 'goldcrestdock/suspects/',
  /** Under a lease: who may give orders to runners. */
  orderHolder: 'goldcrestdock/orders/holder',
  /** Without a lease: who had that right last. */
  orderLast: 'goldcrestdock/orders/last',
} as const;

/** Paths of calls. */
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

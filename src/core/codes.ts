/**
 * Result codes: all failures that goldcrestdock may report to callers and operators.
 * A test checks that `docs/ERRORS.md` matches this list.
 */

/** One numbered result. */
export interface Code {
  /** Stable number, never reused. */
  readonly number: number;
  /** HTTP status of the response. */
  readonly http: number;
  /** Whether this code by itself proves that no runner executed the request. */
  readonly notRun: boolean;
  /** Description of the failure. */
  readonly meaning: string;
  /** Recommended action for the reader of the error. */
  readonly remedy: string;
}

const refusal = (number: number, http: number, meaning: string, remedy: string): Code => ({
  number,
  http,
  notRun: true,
  meaning,
  remedy,
});

const fault = (number: number, http: number, meaning: string, remedy: string): Code => ({
  number,
  http,
  notRun: false,
  meaning,
  remedy,
});

/** Every code by name: 1xx command line and settings, 2xx callers' input, 3xx refusals, 4xx runs, 5xx between processes and the platform. */
export const codes = {
  usage: refusal(101, 400, 'The command line is wrong.', 'See `goldcrestdock --help`.'),
  fileUnreadable: refusal(
    102,
    400,
    'A settings file cannot be read.',
    'Check the path and its permissions.',
  ),
  fileMalformed: refusal(
    103,
    400,
    'A settings text is not JSON with comments.',
    'Mend the text at the line and column named.',
  ),
  settingsInvalid: refusal(
    104,
    422,
    'Settings do not fit the schema.',
    'Mend the field named; `docs/SETTINGS.md` lists all fields.',
  ),
  settingsConflict: refusal(
    105,
    409,
    'Another operator wrote this path first.',
    'Read the new revision, look at the difference and write again.',
  ),
  settingsUnconfirmed: fault(
    106,
    503,
    'The store did not confirm whether the write took effect.',
    'Read the path; write again if it is unchanged.',
  ),
  settingsNotFound: refusal(
    107,
    404,
    'There is no such settings path for this token.',
    'Check the path.',
  ),
  badRequest: refusal(
    201,
    400,
    'The request cannot be understood.',
    'Mend the part of the request that is named.',
  ),
  unauthorized: refusal(202, 401, 'The bearer token is missing or unknown.', 'Send a valid token.'),
  forbidden: refusal(
    203,
    403,
    'The token does not cover this path.',
    'Use a token of the owner of the path.',
  ),
  unknownService: refusal(
    204,
    404,
    'This team has no such service.',
    'Check the service name in the path.',
  ),
  bodyTooLarge: refusal(205, 413, 'The request body is over the limit.', 'Send a smaller body.'),
  keyRequired: refusal(
    206,
    400,
    'A non-idempotent call needs an Idempotency-Key header.',
    'Send a key that names this call and no other.',
  ),
  tooManyConnections: refusal(
    207,
    503,
    'The gateway is at its connection limit.',
    'Ask for another address.',
  ),
  keyReused: refusal(
    208,
    422,
    'This key was used before with a different request.',
    'Use a fresh key for a different request.',
  ),
  unknownRoute: refusal(
    209,
    404,
    'No route of this host begins the path.',
    'Check host and path against the configuration in force.',
  ),
  deadlineUnreachable: refusal(
    301,
    503,
    'The first token cannot be delivered within its deadline.',
    'Come back after the time in Retry-After.',
  ),
  queueFull: refusal(
    302,
    503,
    'The queue of this service is full.',
    'Come back after the time in Retry-After.',
  ),
  overShare: refusal(
    303,
    429,
    'The team uses more than its share while others wait.',
    'Come back after the time in Retry-After.',
  ),
  noRunner: refusal(
    304,
    503,
    'No runner of this service is able to take work.',
    'Come back after the time in Retry-After.',
  ),
  draining: refusal(305, 503, 'This VM is leaving.', 'Connect to one of the addresses given.'),
  noOwner: refusal(
    306,
    503,
    'No scheduler answers for this service.',
    'Come back after the time in Retry-After.',
  ),
  ledgerUnavailable: refusal(
    307,
    503,
    'The run ledger cannot be written, so the call was not run.',
    'Come back after the time in Retry-After.',
  ),
  ledgerFull: refusal(
    308,
    503,
    'The run ledger has no room, so the call was not run.',
    'Come back after the time in Retry-After.',
  ),
  noConfig: refusal(
    309,
    503,
    'This VM does not know the configuration yet.',
    'Connect to another address, or come back after the time in Retry-After.',
  ),
  runnerFull: refusal(
    310,
    503,
    'The runners turned the request away and did not run it.',
    'Come back after the time in Retry-After.',
  ),
  quarantined: refusal(
    312,
    503,
    'Several runners crashed while running this request, so it is not sent to runners for now.',
    'Change the request, or fix what crashes the runners; it is accepted again after ten minutes.',
  ),
  onTrial: refusal(
    320,
    503,
    'Runners crashed while running requests that share a part of the prompt, and another such request is on trial.',
    'Come back after the time in Retry-After; requests that do not crash runners are accepted again then.',
  ),
  configOld: refusal(
    313,
    503,
    'This VM cannot tell whether its configuration is recent enough to decide by.',
    'Connect to another address, or come back after the time in Retry-After.',
  ),
  overQuota: refusal(
    314,
    429,
    'The customer is over its quota.',
    'Come back after the time in Retry-After.',
  ),
  runnersLimited: refusal(
    315,
    503,
    'All runners of the service report rate limits and accept no more requests for now.',
    'Come back after the time in Retry-After.',
  ),
  runnerUnavailable: refusal(
    316,
    503,
    'The chosen runner takes no requests any more, so nothing was sent.',
    'Come back after the time in Retry-After.',
  ),
  runnersBackingOff: refusal(
    317,
    503,
    'All runners of the service have rejected requests and asked this VM for a pause.',
    'Come back after the time in Retry-After.',
  ),
  streamUnknown: refusal(
    319,
    503,
    'The request continues a stream of which no VM knows the software version that began it.',
    'Come back after the time in Retry-After, or ask for a new stream.',
  ),
  versionGone: refusal(
    318,
    503,
    'The request continues a stream, and no runner serves the software version that began it.',
    'Come back after the time in Retry-After, or ask for a new stream.',
  ),
  retryBudgetSpent: refusal(
    321,
    503,
    'The request would have to be sent to another runner, and the retry budget of the service is spent.',
    'Come back after the time in Retry-After.',
  ),
  runnersBusy: refusal(
    322,
    503,
    'All runners of the service are full, and the request cannot end within its time limit.',
    'Come back after the time in Retry-After.',
  ),
  runnerUnreachable: refusal(
    311,
    503,
    'No connection to the runner came about, so nothing was sent.',
    'Come back after the time in Retry-After.',
  ),
  runnerFailed: fault(
    401,
    502,
    'The runner failed while it had the request.',
    'A repeat is safe for idempotent requests.',
  ),
  outcomeUnknown: fault(
    402,
    502,
    'The call was sent once and its outcome is not known; it will not be sent again.',
    'Ask the service itself whether the call took effect.',
  ),
  superseded: fault(
    403,
    409,
    'A newer attempt with the same key took this request over.',
    'Read the answer on the newer connection.',
  ),
  alreadyRunning: fault(
    404,
    409,
    'A call with this key is running or its outcome is not known yet.',
    'Ask again with the same key.',
  ),
  retriesSpent: fault(
    405,
    502,
    'The retry budget of the service is spent.',
    'Come back after the time in Retry-After.',
  ),
  timedOut: fault(
    406,
    504,
    'The request did not finish within its time limit.',
    'A repeat is safe for idempotent requests.',
  ),
  answerNotKept: fault(
    407,
    409,
    'The call ran once, and its answer was too large to be kept for replay.',
    'Ask the service itself for the result.',
  ),
  answerLost: fault(
    408,
    502,
    'The connection to the runner ended before its answer.',
    'A repeat is safe for idempotent requests.',
  ),
  callerStalled: fault(
    409,
    408,
    'The caller read nothing of its response for seconds while the buffers for callers were full, so it was disconnected.',
    'Read responses as they arrive.',
  ),
  peerRejected: fault(
    501,
    400,
    'A peer sent a message that does not fit the protocol.',
    'Check the versions and the shared key of both processes.',
  ),
  platformUnavailable: fault(
    502,
    503,
    'The key-value service does not answer.',
    'Serving goes on with the last good settings; try again later.',
  ),
  factUnreadable: fault(
    503,
    503,
    'An entry in the store cannot be decoded.',
    'A configuration stays in force as it last was; a runner gets no work. Mend the field named.',
  ),
  eraUnfit: fault(
    504,
    503,
    'An answer of the store has no era, one that is not a number, or an earlier one than before.',
    'The last known state stays in force, and the store is read completely instead of by its changes. Fix what is between the VMs and the store.',
  ),
  internal: fault(
    599,
    500,
    'An invariant inside the program does not hold.',
    'Report it with the log line of the same request id.',
  ),
} as const satisfies Record<string, Code>;

/** The name of a code. */
export type CodeName = keyof typeof codes;

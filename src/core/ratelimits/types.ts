/** Rate limits that overloaded runners report in their answers, as VMs store and exchange them. */

/** What an answer reports about the rate limit of its runner. */
export type RateNotice =
  | { readonly kind: 'none' }
  /** Requests per second that the runner accepts from all VMs together. */
  | { readonly kind: 'limited'; readonly ratePerS: number }
  /** The header is present, but its value is not a rate. */
  | { readonly kind: 'unreadable'; readonly text: string };

/** The rate limit of one runner as of its latest change. */
export interface RunnerRate {
  /** Id of the runner's instance. */
  readonly runner: string;
  readonly service: string;
  /** Grows with each change; the highest one wins. */
  readonly version: number;
  /** Requests per second from all VMs together. Default: the limit has ended. */
  readonly ratePerS?: number | undefined;
}

/** What the rate-limited runners of one service may still receive. */
export interface RateAllowance {
  /** Requests per second that a runner accepts from all VMs together; undefined if it has no limit. */
  ratePerS(runner: string): number | undefined;
  /** Time until one more request may be sent to a runner, in milliseconds; 0 if it has no limit. */
  waitMs(now: number, runner: string): number;
  /** Debits one request that is sent to a runner. */
  take(now: number, runner: string): void;
}

/** The allowance of runners without limits. */
export const unlimited: RateAllowance = {
  ratePerS: () => undefined,
  waitMs: () => 0,
  take: () => {},
};

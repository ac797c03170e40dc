/** Rate limits that runners in need name in their answers, as VMs know and tell of them. */

/** What an answer says of the rate limit of its runner. */
export type RateNotice =
  | { readonly kind: 'none' }
  /** Requests a second that the runner takes from all VMs together. */
  | { readonly kind: 'limited'; readonly ratePerS: number }
  /** There is something under the header's name, but no rate. */
  | { readonly kind: 'unreadable'; readonly text: string };

/** The rate limit of one runner as of its latest change. */
export interface RunnerRate {
  /** Id of the start of the runner. */
  readonly runner: string;
  readonly service: string;
  /** Grows with each change; the higher one wins. */
  readonly version: number;
  /** Requests a second from all VMs together. Default: the limit has ended. */
  readonly ratePerS?: number | undefined;
}

/** What the limited runners of one service may still be sent. */
export interface RateAllowance {
  /** Requests a second that a runner takes from all VMs together. Default: it names no limit. */
  ratePerS(runner: string): number | undefined;
  /** Time until one more request may go to a runner, in milliseconds; 0 where it names no limit. */
  waitMs(now: number, runner: string): number;
  /** One more request goes to a runner. */
  take(now: number, runner: string): void;
}

/** Runners that name no limits. */
export const unlimited: RateAllowance = {
  ratePerS: () => undefined,
  waitMs: () => 0,
  take: () => {},
};

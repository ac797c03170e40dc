/**
 * Margins for the lateness of first tokens compared with their forecast, learnt per team.
 *
 * The lateness differs between teams: a team that floods the queue waits long and is
 * overtaken by the others, so its forecasts are far too early. With a common margin, its
 * errors would cause refusals of other teams that hardly wait.
 */

import { RunningQuantile } from './quantile';

/** Read-only view of the margins. */
export interface ForecastMargins {
  /** The 98th percentile of how much later than such a forecast the team's first tokens arrive, in milliseconds; at least 0. */
  marginMs(team: string, forecastMs: number): number;
}

/** Quantile of the lateness that the margin covers. */
const QUANTILE = 0.98;
/** Change of the estimate for each first token, as a fraction of the forecast. */
const STEP = 0.03;
/** Minimum forecast to which lateness is related, in milliseconds, so that short forecasts do not inflate the fraction. */
const MIN_FORECAST_MS = 200;
/** Maximum number of teams kept; the least recently active one is removed first. */
const MAX_TEAMS = 4096;

/** Lateness of first tokens per team, as a fraction of the forecast. */
export class LatenessMargins implements ForecastMargins {
  readonly #teams = new Map<string, RunningQuantile>();

  marginMs(team: string, forecastMs: number): number {
    const lateness = this.#teams.get(team)?.value ?? 0;
    return Math.max(0, lateness * Math.max(MIN_FORECAST_MS, forecastMs));
  }

  /** Records a first token, or one that cannot be delivered in time. */
  observe(team: string, forecastMs: number, actualMs: number): void {
    const quantile = this.#teams.get(team) ?? new RunningQuantile(QUANTILE, STEP, 0);
    this.#teams.delete(team);
    this.#teams.set(team, quantile);
    quantile.observe((actualMs - forecastMs) / Math.max(MIN_FORECAST_MS, forecastMs));
    if (this.#teams.size <= MAX_TEAMS) return;
    const [oldest] = this.#teams.keys();
    if (oldest !== undefined) this.#teams.delete(oldest);
  }
}

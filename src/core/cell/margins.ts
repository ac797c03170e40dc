/**
 * How far first tokens come later than forecast, learnt for each team.
 *
 * Teams differ: one that floods waits long and is overtaken by the others, so
 * its forecasts are far off. With one margin for all, its errors would have
 * teams refused that hardly wait.
 */

import { RunningQuantile } from './quantile';

/** Read-only view of the margins. */
export interface ForecastMargins {
  /** By how much 98 in 100 first tokens of the team come later than such a forecast, at most, in milliseconds. */
  marginMs(team: string, forecastMs: number): number;
}

const QUANTILE = 0.98;
/** Movement of the estimate for each first token, as a part of the forecast. */
const STEP = 0.03;
/** Forecasts below this are told apart by milliseconds, not by parts, in milliseconds. */
const SHORT_FORECAST_MS = 200;
/** Teams remembered; the one that sent last stays longest. */
const TEAMS_LIMIT = 4096;

/** Lateness by team, as a part of the forecast. */
export class LatenessMargins implements ForecastMargins {
  readonly #teams = new Map<string, RunningQuantile>();

  marginMs(team: string, forecastMs: number): number {
    const lateness = this.#teams.get(team)?.value ?? 0;
    return Math.max(0, lateness * Math.max(SHORT_FORECAST_MS, forecastMs));
  }

  /** Learns from a first token, or from one that will not come in time. */
  observe(team: string, forecastMs: number, actualMs: number): void {
    const quantile = this.#teams.get(team) ?? new RunningQuantile(QUANTILE, STEP, 0);
    this.#teams.delete(team);
    this.#teams.set(team, quantile);
    quantile.observe((actualMs - forecastMs) / Math.max(SHORT_FORECAST_MS, forecastMs));
    if (this.#teams.size <= TEAMS_LIMIT) return;
    const [oldest] = this.#teams.keys();
    if (oldest !== undefined) this.#teams.delete(oldest);
  }
}

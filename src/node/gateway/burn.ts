/** Service levels as this gateway saw them, and the report put together from all gateways. */

import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import type { CodeName } from '../../core/codes';
import type { WindowName } from '../../core/burn/windows';
import { BurnWindows, burnRate, windowMinutes } from '../../core/burn/windows';
import type { Settings } from '../../core/settings/documents';
import type { BurnReport, BurnRow, GatewayBurn } from '../../types/burn';
import type { ModelRequest, RunOutcome } from './request';

interface Standing {
  readonly windows: BurnWindows;
  readonly firstToken: Histogram;
  readonly token: Histogram;
  readonly refused: Record<string, number>;
  good: number;
  bad: number;
  cancelled: number;
}

const PERCENTILE = 95;
const windowNames = Object.keys(windowMinutes) as WindowName[];

function newHistogram(): Histogram {
  return build({
    highestTrackableValue: 3_600_000,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

/** Records outcomes by team and service. */
export class BurnRecorder {
  readonly #records = new Map<string, Standing>();

  readonly #since: number;

  constructor(now: number) {
    this.#since = now;
  }

  /** A model request is good if it was whole and within both targets; a cancelled one counts for nothing. */
  recordModel(
    now: number,
    { team, serviceName, service }: ModelRequest,
    outcome: RunOutcome,
  ): void {
    const record = this.#recordOf(team, serviceName);
    const { code, cancelled, firstTokenMs, tokenMs } = outcome;
    if (cancelled) {
      record.cancelled += 1;
      return;
    }
    if (firstTokenMs !== undefined) record.firstToken.recordValue(Math.round(firstTokenMs));
    if (tokenMs !== undefined) record.token.recordValue(Math.round(tokenMs));
    const inTime =
      (firstTokenMs ?? Infinity) <= service.firstTokenMs && (tokenMs ?? 0) <= service.tokenMs;
    countOutcome(now, record, code, code === undefined && inTime);
  }

  recordPlain(now: number, team: string, service: string, code: CodeName | undefined): void {
    countOutcome(now, this.#recordOf(team, service), code, code === undefined);
  }

  /** What this gateway saw. */
  collect(now: number): GatewayBurn {
    const rows = [...this.#records].map(([name, record]) => {
      const [team = '', service = ''] = name.split('/');
      const { good, bad, cancelled, refused, firstToken, token } = record;
      const tallies = Object.fromEntries(
        windowNames.map((key) => [key, record.windows.sum(now, key)]),
      );
      const firstTokenMs = firstToken.getValueAtPercentile(PERCENTILE);
      return {
        team,
        service,
        good,
        bad,
        cancelled,
        refused,
        tallies,
        firstTokenMs,
        tokenMs: token.getValueAtPercentile(PERCENTILE),
      };
    });
    return { since: this.#since, rows };
  }

  #recordOf(team: string, service: string): Standing {
    const name = `${team}/${service}`;
    const known = this.#records.get(name);
    if (known) return known;
    const record: Standing = {
      windows: new BurnWindows(),
      firstToken: newHistogram(),
      token: newHistogram(),
      refused: {},
      good: 0,
      bad: 0,
      cancelled: 0,
    };
    this.#records.set(name, record);
    return record;
  }
}

/** Puts the reports of gateways together; `team` leaves out all other teams' rows. */
export function mergeBurn(
  parts: ReadonlyMap<string, GatewayBurn | undefined>,
  settings: Settings,
  team: string | undefined,
): BurnReport {
  const answered = [...parts.values()].filter((part) => part !== undefined);
  const groups = new Map<string, GatewayBurn['rows'][number][]>();
  for (const row of answered.flatMap(({ rows }) => rows)) {
    if (team === undefined || row.team === team) {
      const name = `${row.team}/${row.service}`;
      groups.set(name, [...(groups.get(name) ?? []), row]);
    }
  }
  return {
    rows: [...groups.values()].map((rows) => mergeRows(rows, settings)),
    silent: [...parts].filter(([, part]) => part === undefined).map(([address]) => address),
    since: Math.max(0, ...answered.map(({ since }) => since)),
  };
}

function mergeRows(rows: readonly GatewayBurn['rows'][number][], settings: Settings): BurnRow {
  const { team = '', service = '' } = rows[0] ?? {};
  const { objective } = settings.service(team, service) ?? {};
  const target = objective?.target ?? 0.95;
  const sum = (pick: (row: GatewayBurn['rows'][number]) => number): number =>
    rows.reduce((total, row) => total + pick(row), 0);
  const burn = Object.fromEntries(
    windowNames.map((name) => {
      const tally = {
        good: sum((r) => r.tallies[name]?.good ?? 0),
        bad: sum((r) => r.tallies[name]?.bad ?? 0),
      };
      return [name, burnRate(tally, target)];
    }),
  );
  const refused: Record<string, number> = {};
  for (const row of rows) {
    for (const [code, count] of Object.entries(row.refused)) {
      refused[code] = (refused[code] ?? 0) + count;
    }
  }
  const good = sum((row) => row.good);
  const bad = sum((row) => row.bad);
  const used = good + bad === 0 ? 0 : bad / (good + bad) / (1 - target);
  return {
    team,
    service,
    target,
    windowDays: objective?.windowDays ?? 28,
    good,
    bad,
    cancelled: sum((row) => row.cancelled),
    budgetLeft: 1 - used,
    burn,
    refused,
    // Percentiles cannot be added; the worst gateway's is the honest bound.
    firstTokenMs: Math.max(...rows.map((row) => row.firstTokenMs)),
    tokenMs: Math.max(...rows.map((row) => row.tokenMs)),
  };
}

function countOutcome(
  now: number,
  record: Standing,
  code: CodeName | undefined,
  good: boolean,
): void {
  record.windows.add(now, good);
  if (good) record.good += 1;
  else record.bad += 1;
  if (code !== undefined) record.refused[code] = (record.refused[code] ?? 0) + 1;
}

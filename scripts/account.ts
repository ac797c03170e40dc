/**
 * Breaks down the outcome of a bench run by cause and by time, from the log of
 * all VMs, and prints the scores of the bench's report if one is given.
 *
 *     fleetbench run SITE DAY --log all --report report.json > play.log
 *     node build/account.cjs play.log [report.json]
 */

import { readFileSync } from 'node:fs';

/** A line of the log: the bench's time in seconds, the VM, and the JSON record that the VM logged. */
const LINE = /^\s*(-?[\d.]+) (\S+) (\{.*\})$/;
/** Seconds covered by a row of the table by time. */
const ROW_S = 2;
/** A wait for a reservation above this fraction of the time to the first event is the cause of a late answer. */
const WAIT_FRACTION = 0.5;
/** A longer prefill, or a longer wait for a reservation, can be the cause of a late answer. */
const SLOW_PREFILL_MS = 400;

/** Fields of a log record that are read here; `at` is the bench's time in seconds. */
interface Line {
  readonly at: number;
  readonly msg: string;
  readonly time?: string;
  readonly request?: string;
  readonly service?: string;
  readonly status?: number;
  readonly code?: string;
  readonly callerGone?: boolean;
  readonly ms?: number;
  readonly firstMs?: number;
  readonly pauseMs?: number;
  readonly inTime?: boolean;
  readonly trail?: readonly string[];
}

/** Fields of the bench's report that are read here. */
interface Report {
  readonly G: number;
  readonly parts: readonly (readonly [string, number, number])[];
  readonly prices: readonly (readonly [string, number, number])[];
  readonly classes: readonly Readonly<Record<string, number | string>>[];
}

/** The outcome of a request that ended or was lost with its VM; `at` is its start on the bench's clock, in seconds. */
interface Outcome {
  readonly service: string;
  readonly at: number;
  readonly cause: string;
}

/** Parses the lines that are log records and skips all others. */
function parse(text: string): readonly Line[] {
  return text.split('\n').flatMap((row) => {
    const [, at, , json] = LINE.exec(row) ?? [];
    if (at === undefined || json === undefined) return [];
    try {
      return [{ ...(JSON.parse(json) as Omit<Line, 'at'>), at: Number(at) }];
    } catch {
      // A killed process can leave a truncated last line.
      return [];
    }
  });
}

/** The number at the end of the last trail entry that starts with `word`; 0 if there is none. */
function trailNumber(trail: readonly string[], word: string): number {
  const entry = trail.findLast((step) => step.startsWith(word));
  return Number(entry?.split(' ').at(-1) ?? 0) || 0;
}

/** The most likely cause of a late answer, from the times in its trail. */
function lateCause({ firstMs = 0, trail = [], ms = 0 }: Line): string {
  const isStream = trail.some((step) => step.startsWith('decode'));
  if (!isStream) return trail.length > 1 ? 'late: retried' : 'late: slow runner';
  const waitMs = trailNumber(trail, 'place');
  if (waitMs > firstMs * WAIT_FRACTION && waitMs > SLOW_PREFILL_MS) return 'late: slow reservation';
  if (trailNumber(trail, 'prefill') > SLOW_PREFILL_MS) return 'late: slow prefill';
  if (trail.filter((step) => step.startsWith('prefill')).length > 1) return 'late: prefilled twice';
  return firstMs > ms / 2 || firstMs > 2 * SLOW_PREFILL_MS ? 'late: slow start' : 'late: pauses';
}

/** The outcome of a request as a row of the table: success, or the cause of the failure. */
function causeOf(line: Line): string {
  const { status = 0, code, callerGone, inTime, firstMs = 0, ms = 0 } = line;
  if (code === 'runnerFailed') return firstMs < ms ? 'cut: runner failed' : 'failed: runner';
  if (code !== undefined) return `refused: ${code}`;
  if (callerGone) return firstMs < ms ? 'disconnected: mid-answer' : 'disconnected: no answer';
  if (status >= 500) return `failed: runner answered ${status}`;
  return inTime ? 'in time' : lateCause(line);
}

/** Outcomes of all requests. A request that got a reservation and has no end in the log was lost with its VM. */
function outcomes(lines: readonly Line[]): readonly Outcome[] {
  const started = new Map<string, Line>();
  const ended: Outcome[] = [];
  const shift = Math.min(...lines.map(({ at, time }) => at - Date.parse(time ?? '') / 1000));
  const secondOf = (line: Line): number => Date.parse(line.time ?? '') / 1000 + shift;
  for (const line of lines) {
    const { msg, request = '', service = '', ms = 0 } = line;
    if (msg === 'cell: Gave a place.') started.set(request.split('/')[0] ?? '', line);
    if (msg.endsWith('Request ended.')) {
      started.delete(request);
      ended.push({ service, at: secondOf(line) - ms / 1000, cause: causeOf(line) });
    }
  }
  for (const line of started.values()) {
    const { service = '' } = line;
    ended.push({ service, at: secondOf(line), cause: 'cut: VM terminated' });
  }
  return ended;
}

/** Number of items by key, most frequent first. */
function count<T>(items: readonly T[], key: (item: T) => string): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) counts.set(key(item), (counts.get(key(item)) ?? 0) + 1);
  return new Map([...counts].sort(([, a], [, b]) => b - a));
}

/** Prints a table with a row for each service and cause. */
function printByCause(all: readonly Outcome[]): void {
  console.log('| service | how it ended | requests | part of the service |');
  console.log('| --- | --- | --- | --- |');
  for (const service of count(all, (ending) => ending.service).keys()) {
    const own = all.filter((ending) => ending.service === service);
    for (const [cause, number] of count(own, (ending) => ending.cause)) {
      console.log(
        `| ${service} | ${cause} | ${number} | ${((100 * number) / own.length).toFixed(1)} % |`,
      );
    }
  }
}

/** Prints a table with a row for each `ROW_S` seconds and a column for each cause other than success. */
function printByTime(all: readonly Outcome[]): void {
  const unsuccessful = all.filter(({ cause }) => cause !== 'in time');
  const causes = [...count(unsuccessful, ({ cause }) => cause).keys()];
  const rowOf = ({ at }: Outcome): number => Math.floor(at / ROW_S) * ROW_S;
  const rows = [...new Set(all.map(rowOf))].sort((a, b) => a - b);
  console.log(`\n| from second | all | ${causes.join(' | ')} |`);
  console.log(`| --- | --- | ${causes.map(() => '---').join(' | ')} |`);
  for (const row of rows) {
    const own = all.filter((ending) => rowOf(ending) === row);
    const counts = count(own, ({ cause }) => cause);
    const cells = causes.map((cause) => counts.get(cause) ?? '');
    console.log(`| ${row} | ${own.length} | ${cells.join(' | ')} |`);
  }
}

/** Prints the scores of the report and the prices of at least 0.0005. */
function printReport({ G, parts, prices, classes }: Report): void {
  console.log(
    `\nworth ${G.toFixed(3)}; ${parts.map(([name, weight, value]) => `${name} ${value.toFixed(3)} (weight ${weight})`).join(', ')}`,
  );
  const paid = prices.filter(([, , price]) => price >= 0.0005).sort((a, b) => b[2] - a[2]);
  console.log(`prices: ${paid.map(([name, , price]) => `${name} ${price.toFixed(4)}`).join('; ')}`);
  for (const { name, n, in_aim: inAim, late, refused, failed, worth } of classes) {
    console.log(
      `${name}: ${n} asked, ${inAim} in time, ${late} late, ${refused} refused, ${failed} failed, worth ${worth}`,
    );
  }
}

const [log, report] = process.argv.slice(2);
if (log === undefined) {
  console.error('found no log file, expected `account.cjs play.log [report.json]`');
  process.exitCode = 2;
} else {
  const all = outcomes(parse(readFileSync(log, 'utf8')));
  printByCause(all);
  printByTime(all);
  if (report !== undefined) printReport(JSON.parse(readFileSync(report, 'utf8')) as Report);
}

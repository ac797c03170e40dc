/**
 * Tells where the worth of a play went, by cause and second: from the log of all
 * VMs and, if given, the report of the users' bench.
 *
 *     fleetbench run SITE DAY --log all --report report.json > play.log
 *     node build/account.cjs play.log [report.json]
 */

import { readFileSync } from 'node:fs';

/** A line of the log: the bench's time and VM, then what the VM wrote. */
const LINE = /^\s*(-?[\d.]+) (\S+) (\{.*\})$/;
/** Seconds in one row of the table by time. */
const ROW_S = 2;
/** Part of a request's aim that may go by before it has a place; above, the wait made it late. */
const WAIT_PART = 0.5;
/** Time of a prefill above which it made a request late, in milliseconds. */
const PREFILL_MS = 400;

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

interface Report {
  readonly G: number;
  readonly parts: readonly (readonly [string, number, number])[];
  readonly prices: readonly (readonly [string, number, number])[];
  readonly classes: readonly Readonly<Record<string, number | string>>[];
}

/** One request that ended or was lost, and why it went as it did. */
interface Ending {
  readonly service: string;
  readonly at: number;
  readonly cause: string;
}

function parse(text: string): readonly Line[] {
  return text.split('\n').flatMap((row) => {
    const [, at, , json] = LINE.exec(row) ?? [];
    if (at === undefined || json === undefined) return [];
    try {
      return [{ ...(JSON.parse(json) as Omit<Line, 'at'>), at: Number(at) }];
    } catch {
      // A process that is killed leaves half a line.
      return [];
    }
  });
}

/** The number that follows a word in the trail. */
function trailed(trail: readonly string[], word: string): number {
  const entry = trail.findLast((step) => step.startsWith(word));
  return Number(entry?.split(' ').at(-1) ?? 0) || 0;
}

function lateCause({ firstMs = 0, trail = [], ms = 0 }: Line): string {
  const isStream = trail.some((step) => step.startsWith('decode'));
  if (!isStream) return trail.length > 1 ? 'late: tried twice' : 'late: slow runner';
  const waitMs = trailed(trail, 'place');
  if (waitMs > firstMs * WAIT_PART && waitMs > PREFILL_MS) return 'late: waited for a place';
  if (trailed(trail, 'prefill') > PREFILL_MS) return 'late: slow prefill';
  if (trail.filter((step) => step.startsWith('prefill')).length > 1) return 'late: read twice';
  return firstMs > ms / 2 || firstMs > 2 * PREFILL_MS ? 'late: slow start' : 'late: pauses';
}

function causeOf(line: Line): string {
  const { status = 0, code, callerGone, inTime, firstMs = 0, ms = 0 } = line;
  if (code === 'runnerFailed') return firstMs < ms ? 'cut: runner broke off' : 'failed: runner';
  if (code !== undefined) return `refused: ${code}`;
  if (callerGone) return firstMs < ms ? 'left: in the answer' : 'left: before the first event';
  if (status >= 500) return `failed: runner answered ${status}`;
  return inTime ? 'in time' : lateCause(line);
}

/** Requests by how they ended; those that were given a place and never ended went with their VM. */
function endings(lines: readonly Line[]): readonly Ending[] {
  const started = new Map<string, Line>();
  const ended: Ending[] = [];
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
    ended.push({ service, at: secondOf(line), cause: 'cut: VM ended' });
  }
  return ended;
}

function count<T>(items: readonly T[], key: (item: T) => string): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) counts.set(key(item), (counts.get(key(item)) ?? 0) + 1);
  return new Map([...counts].sort(([, a], [, b]) => b - a));
}

function printByCause(all: readonly Ending[]): void {
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

/** Rows of seconds, columns of the causes that are no success. */
function printByTime(all: readonly Ending[]): void {
  const lost = all.filter(({ cause }) => cause !== 'in time');
  const causes = [...count(lost, ({ cause }) => cause).keys()];
  const rowOf = ({ at }: Ending): number => Math.floor(at / ROW_S) * ROW_S;
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
  console.error('Found no log. Call it as `account.cjs play.log [report.json]`.');
  process.exitCode = 2;
} else {
  const all = endings(parse(readFileSync(log, 'utf8')));
  printByCause(all);
  printByTime(all);
  if (report !== undefined) printReport(JSON.parse(readFileSync(report, 'utf8')) as Report);
}

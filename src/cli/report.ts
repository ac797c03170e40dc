/** The service-level report as a table and as a web page. */

import { windowMinutes } from '../core/burn/windows';
import type { BurnReport, BurnRow } from '../types/burn';

const windowNames = Object.keys(windowMinutes);

function cellsOf(row: BurnRow): readonly string[] {
  const refused = Object.entries(row.refused).map(([code, count]) => `${code}:${count}`);
  return [
    row.team,
    row.service,
    `${(row.target * 100).toFixed(1)}%`,
    String(row.good),
    String(row.bad),
    `${(row.budgetLeft * 100).toFixed(0)}%`,
    ...windowNames.map((name) => (row.burn[name] ?? 0).toFixed(2)),
    `${row.firstTokenMs}`,
    `${row.tokenMs}`,
    refused.join(' ') || '-',
  ];
}

const header = [
  'team',
  'service',
  'target',
  'good',
  'bad',
  'budget left',
  ...windowNames.map((name) => `burn ${name}`),
  'first token p95 ms',
  'token p95 ms',
  'failed by code',
];

function notes({ silent, since }: BurnReport): readonly string[] {
  return [
    `Counted since ${new Date(since).toISOString()} on the youngest gateway; what a replaced gateway alone had seen is gone.`,
    silent.length === 0
      ? 'All gateways answered.'
      : `No answer from ${silent.join(', ')}; their share is missing.`,
  ];
}

/** The report as text in columns. */
export function burnTable(report: BurnReport): string {
  const rows = [header, ...report.rows.map(cellsOf)];
  const widths = header.map((_, i) => Math.max(...rows.map((row) => (row[i] ?? '').length)));
  const lines = rows.map((row) =>
    row
      .map((cell, i) => cell.padEnd(widths[i] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return [...lines, '', ...notes(report)].join('\n');
}

function escape(text: string): string {
  return text.replace(/[&<>"]/g, (char) => `&#${char.charCodeAt(0)};`);
}

const BAR_WIDTH = 260;
const BAR_HEIGHT = 16;
/** Burn rate at the right end of a bar: the budget of a month gone in two days. */
const BAR_LIMIT = 14.4;

/** Bars of the burn rate by window; the line marks a rate of 1. */
function burnPlot(row: BurnRow): string {
  const scale = (rate: number): number => Math.min(BAR_WIDTH, (rate / BAR_LIMIT) * BAR_WIDTH);
  const bars = windowNames.map((name, i) => {
    const rate = row.burn[name] ?? 0;
    const colour = rate > 1 ? '#b3261e' : '#3b7d4f';
    const y = i * (BAR_HEIGHT + 4);
    return `<text x="0" y="${y + 12}">${name}</text><rect x="34" y="${y}" width="${scale(rate).toFixed(1)}" height="${BAR_HEIGHT}" fill="${colour}"/><text x="${(40 + scale(rate)).toFixed(1)}" y="${y + 12}">${rate.toFixed(2)}</text>`;
  });
  const height = windowNames.length * (BAR_HEIGHT + 4);
  const one = 34 + scale(1);
  return `<svg width="${BAR_WIDTH + 90}" height="${height}">${bars.join('')}<line x1="${one}" x2="${one}" y1="0" y2="${height}" stroke="#444" stroke-dasharray="3"/></svg>`;
}

/** The report as one self-contained page. */
export function burnHtml(report: BurnReport): string {
  const sections = report.rows.map((row) => {
    const cells = cellsOf(row).map(
      (cell, i) => `<tr><th>${escape(header[i] ?? '')}</th><td>${escape(cell)}</td></tr>`,
    );
    return `<section><h2>${escape(row.team)} / ${escape(row.service)}</h2><div class="row"><table>${cells.join('')}</table>${burnPlot(row)}</div></section>`;
  });
  const style =
    'body{font:14px sans-serif;margin:2rem;color:#222}section{margin:1.5rem 0}.row{display:flex;gap:2rem;align-items:flex-start;flex-wrap:wrap}th{text-align:left;font-weight:normal;color:#666;padding-right:1rem}svg text{font:12px sans-serif}';
  const remarks = notes(report).map((note) => `<p>${escape(note)}</p>`);
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>Service levels</title><style>${style}</style><h1>Service levels</h1>${remarks.join('')}${sections.join('')}</html>\n`;
}

/** Renders the service-level report as a table or as a web page. */

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
    `Counted since ${new Date(since).toISOString()} on the most recently started gateway; counts of gateways that were replaced are missing.`,
    silent.length === 0
      ? 'All gateways answered.'
      : `No answer from ${silent.join(', ')}; their counts are missing.`,
  ];
}

/** The report as text in aligned columns. */
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

function escapeHtml(text: string): string {
  return text.replace(/[&<>"]/g, (char) => `&#${char.charCodeAt(0)};`);
}

const BAR_WIDTH_PX = 260;
const BAR_HEIGHT_PX = 16;
/** Burn rate at the right end of a bar. It uses up the error budget of a month in about two days. */
const MAX_BURN_RATE = 14.4;

/** A bar chart of the burn rate by window; the dashed line marks a rate of 1. */
function burnPlot(row: BurnRow): string {
  const scale = (rate: number): number =>
    Math.min(BAR_WIDTH_PX, (rate / MAX_BURN_RATE) * BAR_WIDTH_PX);
  const bars = windowNames.map((name, i) => {
    const rate = row.burn[name] ?? 0;
    const colour = rate > 1 ? '#b3261e' : '#3b7d4f';
    const y = i * (BAR_HEIGHT_PX + 4);
    return `<text x="0" y="${y + 12}">${name}</text><rect x="34" y="${y}" width="${scale(rate).toFixed(1)}" height="${BAR_HEIGHT_PX}" fill="${colour}"/><text x="${(40 + scale(rate)).toFixed(1)}" y="${y + 12}">${rate.toFixed(2)}</text>`;
  });
  const height = windowNames.length * (BAR_HEIGHT_PX + 4);
  const unitX = 34 + scale(1);
  return `<svg width="${BAR_WIDTH_PX + 90}" height="${height}">${bars.join('')}<line x1="${unitX}" x2="${unitX}" y1="0" y2="${height}" stroke="#444" stroke-dasharray="3"/></svg>`;
}

/** The report as one self-contained HTML page. */
export function burnHtml(report: BurnReport): string {
  const sections = report.rows.map((row) => {
    const cells = cellsOf(row).map(
      (cell, i) => `<tr><th>${escapeHtml(header[i] ?? '')}</th><td>${escapeHtml(cell)}</td></tr>`,
    );
    return `<section><h2>${escapeHtml(row.team)} / ${escapeHtml(row.service)}</h2><div class="row"><table>${cells.join('')}</table>${burnPlot(row)}</div></section>`;
  });
  const style =
    'body{font:14px sans-serif;margin:2rem;color:#222}section{margin:1.5rem 0}.row{display:flex;gap:2rem;align-items:flex-start;flex-wrap:wrap}th{text-align:left;font-weight:normal;color:#666;padding-right:1rem}svg text{font:12px sans-serif}';
  const remarks = notes(report).map((note) => `<p>${escapeHtml(note)}</p>`);
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>Service levels</title><style>${style}</style><h1>Service levels</h1>${remarks.join('')}${sections.join('')}</html>\n`;
}

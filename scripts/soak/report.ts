/** Renders the report of a run: one HTML page with plots over time, on which faults are bands. */

import * as echarts from 'echarts';

import type { Outcome } from './callers';
import type { FaultSpan, Second, Timeline } from './timeline';

const WIDTH = 1100;
const HEIGHT = 240;

/** One curve of a plot. */
interface Series {
  readonly name: string;
  readonly values: readonly (number | null)[];
  /** Curves with the same stack name are stacked. */
  readonly stack?: string;
}

const outcomeColours: Readonly<Record<string, string>> = {
  served: '#2f7d4f',
  refused: '#e0a526',
  failed: '#b3392f',
  broken: '#6d1f5b',
  left: '#8a8a8a',
};

/** Band colours of the families of faults. */
const familyColours: Readonly<Record<string, string>> = {
  vm: 'rgba(179,57,47,0.12)',
  store: 'rgba(47,93,179,0.12)',
  runner: 'rgba(224,165,38,0.14)',
};

function bandsOf(faults: readonly FaultSpan[], end: number): object[] {
  return faults.map(({ name, from, to }) => [
    {
      xAxis: from,
      itemStyle: { color: familyColours[name.split('-')[0] ?? ''] ?? 'rgba(0,0,0,0.08)' },
    },
    { xAxis: Math.min(to, end) },
  ]);
}

/** Renders one plot as SVG. */
export function renderPlot(
  title: string,
  seconds: readonly Second[],
  faults: readonly FaultSpan[],
  curves: readonly Series[],
): string {
  const end = seconds.at(-1)?.second ?? 0;
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  chart.setOption({
    animation: false,
    title: { text: title, left: 10, top: 5, textStyle: { fontSize: 14 } },
    legend: { right: 30, top: 5 },
    grid: { left: 60, right: 30, top: 45, bottom: 30 },
    xAxis: { type: 'value', min: 0, max: end, name: 's' },
    yAxis: { type: 'value' },
    series: curves.map(({ name, values, stack }, index) => ({
      name,
      type: 'line',
      symbol: 'none',
      step: 'end',
      lineStyle: { width: stack === undefined ? 1.5 : 0 },
      ...(stack === undefined ? {} : { stack, areaStyle: { opacity: 0.85 } }),
      ...(outcomeColours[name] === undefined ? {} : { color: outcomeColours[name] }),
      data: seconds.map(({ second }, i) => [second, values[i] ?? null]),
      ...(index === 0 ? { markArea: { silent: true, data: bandsOf(faults, end) } } : {}),
    })),
  } as echarts.EChartsOption);
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

/** Renders all plots of a run as SVG. */
export function renderPlots({ seconds, faults }: Timeline): readonly string[] {
  const valuesOf = (value: (second: Second) => number): readonly number[] => seconds.map(value);
  const outcomes = Object.keys(outcomeColours) as readonly Outcome[];
  const finite = (value: number): number | null => (Number.isFinite(value) ? value : null);
  return [
    renderPlot(
      'Requests per second by outcome',
      seconds,
      faults,
      outcomes.map((name) => ({
        name,
        stack: 'all',
        values: valuesOf((second) => second.outcomes[name]),
      })),
    ),
    renderPlot('Duration of served requests, ms', seconds, faults, [
      { name: 'median', values: valuesOf(({ medianMs }) => medianMs) },
      { name: '95th percentile', values: valuesOf(({ p95Ms }) => p95Ms) },
    ]),
    renderPlot('VMs up', seconds, faults, [{ name: 'up', values: valuesOf(({ vmsUp }) => vmsUp) }]),
    renderPlot('Configuration version applied by VMs', seconds, faults, [
      { name: 'lowest', values: seconds.map(({ configLow }) => finite(configLow)) },
      { name: 'highest', values: seconds.map(({ configHigh }) => finite(configHigh)) },
    ]),
  ];
}

function escapeHtml(text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;');
}

/** Renders the report as an HTML page. */
export function renderReport(title: string, timeline: Timeline): string {
  const rows = timeline.breaches.map(
    ({ promise, detail }) =>
      `<tr><td>${escapeHtml(promise)}</td><td>${escapeHtml(detail)}</td></tr>`,
  );
  const violations =
    rows.length === 0 ? '<p>All guarantees held.</p>' : `<table>${rows.join('')}</table>`;
  const faults = timeline.faults.map(
    ({ name, target, from, to }) =>
      `<tr><td>${from.toFixed(1)}</td><td>${to.toFixed(1)}</td><td>${name}</td><td>${escapeHtml(target)}</td></tr>`,
  );
  return [
    '<!doctype html><meta charset="utf-8">',
    `<title>${escapeHtml(title)}</title>`,
    '<style>body{font-family:sans-serif;margin:2em}td{padding:0 1em 0 0}</style>',
    `<h1>${escapeHtml(title)}</h1>`,
    `<p>${escapeHtml(JSON.stringify(timeline.totals))}</p>`,
    ...renderPlots(timeline),
    '<h2>Violated guarantees</h2>',
    violations,
    '<h2>Faults</h2>',
    `<table><tr><th>from, s</th><th>to, s</th><th>fault</th><th>target</th></tr>${faults.join('')}</table>`,
  ].join('\n');
}

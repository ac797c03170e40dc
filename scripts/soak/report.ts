/** The report of a run: plots over time with faults as bands, as one HTML page. */

import * as echarts from 'echarts';

import type { Outcome } from './callers';
import type { FaultSpan, Second, Timeline } from './timeline';

const WIDTH = 1100;
const HEIGHT = 240;

interface Line {
  readonly name: string;
  readonly values: readonly (number | null)[];
  /** Lines of one name are stacked on each other. */
  readonly stack?: string;
}

const colours: Readonly<Record<string, string>> = {
  served: '#2f7d4f',
  refused: '#e0a526',
  failed: '#b3392f',
  broken: '#6d1f5b',
  left: '#8a8a8a',
};

/** Families of faults, each of one colour. */
const families: Readonly<Record<string, string>> = {
  vm: 'rgba(179,57,47,0.12)',
  store: 'rgba(47,93,179,0.12)',
  runner: 'rgba(224,165,38,0.14)',
};

function bandsOf(faults: readonly FaultSpan[], end: number): object[] {
  return faults.map(({ name, from, to }) => [
    {
      xAxis: from,
      itemStyle: { color: families[name.split('-')[0] ?? ''] ?? 'rgba(0,0,0,0.08)' },
    },
    { xAxis: Math.min(to, end) },
  ]);
}

/** One plot as SVG. */
export function renderPlot(
  title: string,
  seconds: readonly Second[],
  faults: readonly FaultSpan[],
  lines: readonly Line[],
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
    series: lines.map(({ name, values, stack }, index) => ({
      name,
      type: 'line',
      symbol: 'none',
      step: 'end',
      lineStyle: { width: stack === undefined ? 1.5 : 0 },
      ...(stack === undefined ? {} : { stack, areaStyle: { opacity: 0.85 } }),
      ...(colours[name] === undefined ? {} : { color: colours[name] }),
      data: seconds.map(({ second }, i) => [second, values[i] ?? null]),
      ...(index === 0 ? { markArea: { silent: true, data: bandsOf(faults, end) } } : {}),
    })),
  } as echarts.EChartsOption);
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

/** All plots of a run. */
export function renderPlots({ seconds, faults }: Timeline): readonly string[] {
  const of = (value: (second: Second) => number): readonly number[] => seconds.map(value);
  const outcomes = Object.keys(colours) as readonly Outcome[];
  const finite = (value: number): number | null => (Number.isFinite(value) ? value : null);
  return [
    renderPlot(
      'Requests a second by outcome',
      seconds,
      faults,
      outcomes.map((name) => ({ name, stack: 'all', values: of((one) => one.outcomes[name]) })),
    ),
    renderPlot('Time of answers that were served, ms', seconds, faults, [
      { name: 'median', values: of(({ medianMs }) => medianMs) },
      { name: '95th percentile', values: of(({ p95Ms }) => p95Ms) },
    ]),
    renderPlot('VMs up', seconds, faults, [{ name: 'up', values: of(({ vmsUp }) => vmsUp) }]),
    renderPlot('Configuration by which VMs say that they go', seconds, faults, [
      { name: 'lowest', values: seconds.map(({ configLow }) => finite(configLow)) },
      { name: 'highest', values: seconds.map(({ configHigh }) => finite(configHigh)) },
    ]),
  ];
}

function escape(text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;');
}

/** The whole page. */
export function renderReport(title: string, timeline: Timeline): string {
  const rows = timeline.breaches.map(
    ({ promise, detail }) => `<tr><td>${escape(promise)}</td><td>${escape(detail)}</td></tr>`,
  );
  const broken =
    rows.length === 0 ? '<p>No promise was broken.</p>' : `<table>${rows.join('')}</table>`;
  const faults = timeline.faults.map(
    ({ name, target, from, to }) =>
      `<tr><td>${from.toFixed(1)}</td><td>${to.toFixed(1)}</td><td>${name}</td><td>${escape(target)}</td></tr>`,
  );
  return [
    '<!doctype html><meta charset="utf-8">',
    `<title>${escape(title)}</title>`,
    '<style>body{font-family:sans-serif;margin:2em}td{padding:0 1em 0 0}</style>',
    `<h1>${escape(title)}</h1>`,
    `<p>${escape(JSON.stringify(timeline.totals))}</p>`,
    ...renderPlots(timeline),
    '<h2>Broken promises</h2>',
    broken,
    '<h2>Faults</h2>',
    `<table><tr><th>from, s</th><th>to, s</th><th>fault</th><th>target</th></tr>${faults.join('')}</table>`,
  ].join('\n');
}

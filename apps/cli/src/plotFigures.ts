import { scaleBand, scaleLog } from 'd3-scale';
import type { LoadFigures } from './runLoad.js';

const WIDTH = 720;
const BAR_ROOM = 26;
const LEFT = 160;
const TOP = 40;
const RIGHT = 80;
const SHADES = { p50: '#9db8d2', p95: '#5f8ab3', p99: '#274f77' };

/** Escapes text for a picture. */
const escape = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

/** Bars of the time to a whole answer by customer, on a logarithmic scale, as SVG. */
const plotFigures = (title: string, figures: readonly LoadFigures[]): string => {
  const height = TOP + figures.length * BAR_ROOM + 30;
  const times = figures.flatMap(({ wholeMs }) => Object.values(wholeMs)).filter((ms) => ms > 0);
  const x = scaleLog()
    .domain([Math.max(0.1, Math.min(...times) / 2), Math.max(1, ...times)])
    .range([LEFT, WIDTH - RIGHT]);
  const y = scaleBand()
    .domain(figures.map(({ customer }) => customer))
    .range([TOP, height - 30])
    .padding(0.25);
  const bars = figures.flatMap(({ customer, wholeMs }) =>
    (['p99', 'p95', 'p50'] as const).map((percentile) => {
      const end = x(Math.max(wholeMs[percentile] ?? 0, x.domain()[0] ?? 1));
      return `<rect x="${LEFT}" y="${y(customer)}" width="${(end - LEFT).toFixed(1)}" height="${y.bandwidth().toFixed(1)}" fill="${SHADES[percentile]}"/>`;
    }),
  );
  const labels = figures.map(({ customer, wholeMs }) => {
    const middle = ((y(customer) ?? 0) + y.bandwidth() / 2 + 4).toFixed(1);
    return [
      `<text x="${LEFT - 8}" y="${middle}" text-anchor="end">${escape(customer)}</text>`,
      `<text x="${WIDTH - RIGHT + 6}" y="${middle}">${(wholeMs.p99 ?? 0).toFixed(0)} ms</text>`,
    ].join('');
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">`,
    `<rect width="100%" height="100%" fill="white"/>`,
    `<text x="${LEFT}" y="20" font-size="14">${escape(title)}: whole answers, p50, p95 and p99 (labelled)</text>`,
    ...bars,
    ...labels,
    '</svg>',
  ].join('\n');
};

export default plotFigures;

import { scaleBand, scaleLog } from 'd3-scale';
import type { LoadFigures } from './runLoad.js';

const WIDTH = 720;
const ROW_HEIGHT = 26;
const LEFT_MARGIN = 160;
const TOP_MARGIN = 40;
const RIGHT_MARGIN = 80;
const PERCENTILE_COLORS = { p50: '#9db8d2', p95: '#5f8ab3', p99: '#274f77' };

const escapeXml = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

/** Draws the time to a complete answer by customer as an SVG bar chart with a logarithmic scale. */
const plotFigures = (title: string, figures: readonly LoadFigures[]): string => {
  const height = TOP_MARGIN + figures.length * ROW_HEIGHT + 30;
  const times = figures.flatMap(({ wholeMs }) => Object.values(wholeMs)).filter((ms) => ms > 0);
  const scaleX = scaleLog()
    .domain([Math.max(0.1, Math.min(...times) / 2), Math.max(1, ...times)])
    .range([LEFT_MARGIN, WIDTH - RIGHT_MARGIN]);
  const scaleY = scaleBand()
    .domain(figures.map(({ customer }) => customer))
    .range([TOP_MARGIN, height - 30])
    .padding(0.25);
  const bars = figures.flatMap(({ customer, wholeMs }) =>
    (['p99', 'p95', 'p50'] as const).map((percentile) => {
      const barEnd = scaleX(Math.max(wholeMs[percentile] ?? 0, scaleX.domain()[0] ?? 1));
      return `<rect x="${LEFT_MARGIN}" y="${scaleY(customer)}" width="${(barEnd - LEFT_MARGIN).toFixed(1)}" height="${scaleY.bandwidth().toFixed(1)}" fill="${PERCENTILE_COLORS[percentile]}"/>`;
    }),
  );
  const labels = figures.map(({ customer, wholeMs }) => {
    const textY = ((scaleY(customer) ?? 0) + scaleY.bandwidth() / 2 + 4).toFixed(1);
    return [
      `<text x="${LEFT_MARGIN - 8}" y="${textY}" text-anchor="end">${escapeXml(customer)}</text>`,
      `<text x="${WIDTH - RIGHT_MARGIN + 6}" y="${textY}">${(wholeMs.p99 ?? 0).toFixed(0)} ms</text>`,
    ].join('');
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">`,
    `<rect width="100%" height="100%" fill="white"/>`,
    `<text x="${LEFT_MARGIN}" y="20" font-size="14">${escapeXml(title)}: whole answers, p50, p95 and p99 (labelled)</text>`,
    ...bars,
    ...labels,
    '</svg>',
  ].join('\n');
};

export default plotFigures;

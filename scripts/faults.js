/**
 * Renders docs/FAULTS.md from docs/faults.yaml and checks that every cited test exists.
 *
 * node scripts/faults.js [--check]   with --check: fails if the page is out of date
 */
import { readFile, readdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { format, resolveConfig } from 'prettier';
import { parse } from 'yaml';

const PAGE = 'docs/FAULTS.md';
const TITLE = /test(?:\.serial)?\(\s*(['"`])(.*?)\1/gs;
const print = (text) => process.stdout.write(`${text}\n`);

const findTests = async (folder) => {
  const entries = await readdir(folder, { withFileTypes: true });
  const nested = await Promise.all(
    entries
      .filter(({ name }) => name !== 'node_modules' && name !== 'dist')
      .map((entry) => {
        const path = join(folder, entry.name);
        if (entry.isDirectory()) return findTests(path);
        return entry.name.endsWith('.test.ts') ? [path] : [];
      }),
  );
  return nested.flat();
};

const readTitles = async () => {
  const folders = ['packages', 'apps', 'platform'];
  const files = (await Promise.all(folders.map(findTests))).flat();
  const titles = await Promise.all(
    files.map(async (file) =>
      [...(await readFile(file, 'utf8')).matchAll(TITLE)].map(([, , title]) => ({ title, file })),
    ),
  );
  return titles.flat();
};

const matrix = parse(await readFile('docs/faults.yaml', 'utf8'));
const titles = await readTitles();
const cited = [];
const missing = [];

/** Returns a cited test's number in the list at the end of the page; adds the test if it is new. */
const cite = (part) => {
  const found = titles.find(({ title }) => title.includes(part));
  if (!found) {
    missing.push(part);
    return '?';
  }
  const citedIndex = cited.findIndex(({ title }) => title === found.title);
  if (citedIndex >= 0) return `T${citedIndex + 1}`;
  cited.push(found);
  return `T${cited.length}`;
};

const NOT_PROVED = 'not proved';
const counts = { proved: 0, cannot: 0, open: 0 };

const formatCell = (cell) => {
  if (cell === undefined || cell === NOT_PROVED) {
    counts.open += 1;
    return NOT_PROVED;
  }
  if (cell.startsWith('cannot: ')) {
    counts.cannot += 1;
    return `cannot happen: ${cell.slice('cannot: '.length)}`;
  }
  counts.proved += 1;
  return cite(cell);
};

const formatTable = ([path, { steps, cells }]) => [
  `## Path: ${path}`,
  '',
  `| fault | ${steps.join(' | ')} |`,
  `|---|${steps.map(() => '---').join('|')}|`,
  ...matrix.faults.map(
    (fault) =>
      `| ${fault} | ${steps.map((step) => formatCell(cells[fault]?.[step])).join(' | ')} |`,
  ),
  '',
];

const tables = Object.entries(matrix.paths).flatMap(formatTable);
const pairs = Object.entries(matrix.pairs).map(
  ([pair, cell]) => `| ${pair} | ${cell === NOT_PROVED ? NOT_PROVED : cite(cell)} |`,
);
const points = Object.entries(matrix.points).map(
  ([point, tests]) => `| ${point} | ${tests.map(cite).join(', ')} |`,
);
const page = [
  '# Faults',
  '',
  'Written by `npm run faults` from `docs/faults.yaml`; CI checks that it is up to date and that every test it',
  'cites exists. The tests run in CI. `node scripts/naive.js` puts naive variants into the program and shows',
  'that the tests catch them; its last outcome is in `measurements/naive.json`.',
  '',
  `Cells: ${counts.proved} proved by a test, ${counts.cannot} that cannot happen, ${counts.open} not proved.`,
  '',
  '## What must always hold',
  '',
  '| point | evidence |',
  '|---|---|',
  ...points,
  '',
  '## Two faults at once',
  '',
  '| pair | test |',
  '|---|---|',
  ...pairs,
  '',
  ...tables,
  '## Tests',
  '',
  ...cited.map(({ title, file }, index) => `- T${index + 1}: ${title} (\`${file}\`)`),
  '',
].join('\n');

const formatted = await format(page, { ...(await resolveConfig(PAGE)), parser: 'markdown' });
missing.forEach((part) => print(`no test title contains: ${part}`));
if (process.argv.includes('--check')) {
  const isUpToDate = (await readFile(PAGE, 'utf8').catch(() => '')) === formatted;
  if (!isUpToDate) print(`${PAGE} is out of date; run npm run faults`);
  process.exitCode = isUpToDate && missing.length === 0 ? 0 : 1;
} else {
  await writeFile(PAGE, formatted);
  print(
    `${PAGE}: ${counts.proved} proved, ${counts.cannot} cannot happen, ${counts.open} not proved`,
  );
  process.exitCode = missing.length === 0 ? 0 : 1;
}

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { CommandOutcome } from './commandOutcome.js';
import { EXIT_MISUSED } from './commandOutcome.js';

const DEFAULT_LOG = 'http://127.0.0.1:7000';
const DEFAULT_WAIT_SECONDS = 10;
const DEFAULT_AUDIT_LINES = 100;

const printOutcome = (outcome: CommandOutcome, isJson: boolean): void => {
  const output = isJson ? JSON.stringify(outcome.json) : outcome.text;
  const stream = outcome.status === 0 || isJson ? process.stdout : process.stderr;
  stream.write(`${output}\n`);
  process.exitCode = outcome.status;
};

const parseRevisions = (pairs: readonly string[]): Map<string, number> =>
  new Map(
    pairs.map((pair) => {
      const [path = '', revision = ''] = pair.split('=');
      return [path, Number(revision)];
    }),
  );

// Each command's module is imported only when the command runs, so that quick commands start fast.
await yargs(hideBin(process.argv))
  .scriptName('cyclamengate')
  .usage('$0 <command>\n\nOperates the rollout service through the platform log.')
  .env('CYCLAMENGATE')
  .option('json', { type: 'boolean', default: false, describe: 'answer as one JSON value' })
  .option('log', { type: 'string', default: DEFAULT_LOG, describe: 'address of the platform log' })
  .option('peer', { type: 'string', describe: "peer address of any of the system's processes" })
  .command(
    'validate <file>',
    'check a settings file without publishing it',
    (command) => command.positional('file', { type: 'string', demandOption: true }),
    async ({ file, json }) => {
      const { default: validate } = await import('./validate.js');
      printOutcome(await validate(file), json);
    },
  )
  .command(
    'publish <file>',
    'publish a settings file and wait until it is in force',
    (command) =>
      command
        .positional('file', { type: 'string', demandOption: true })
        .option('operator', { type: 'string', demandOption: true, describe: 'your operator id' })
        .option('wait', {
          type: 'number',
          default: DEFAULT_WAIT_SECONDS,
          describe: 'seconds to wait until it is in force on every live host (needs --peer)',
        })
        .option('based-on', {
          type: 'string',
          array: true,
          default: [] as string[],
          describe: 'PATH=REVISION that must still stand; default: the newest',
        }),
    async ({ file, operator, log, peer, wait, basedOn, json }) => {
      const { default: publish } = await import('./publish.js');
      const options = { file, operator, log, peer, wait, basedOn: parseRevisions(basedOn) };
      printOutcome(await publish(options), json);
    },
  )
  .command(
    ['evacuate <domain>', 'restore <domain>'],
    'send nothing more to the upstreams of a failure domain, or use them again',
    (command) =>
      command
        .positional('domain', { type: 'string', demandOption: true })
        .option('operator', { type: 'string', demandOption: true, describe: 'your operator id' }),
    async ({ _: [name], domain, operator, log, json }) => {
      const { default: evacuate } = await import('./evacuate.js');
      const options = { failureDomain: domain, isEvacuated: name === 'evacuate', operator, log };
      printOutcome(await evacuate(options), json);
    },
  )
  .command(
    'status',
    'show members, settings and leases',
    (command) => command,
    async ({ log, peer, json }) => {
      const { default: status } = await import('./status.js');
      printOutcome(await status(log, peer), json);
    },
  )
  .command(
    'services <host>',
    'show what a host of the platform form knows of each service: shares, waits, paces',
    (command) =>
      command.positional('host', {
        type: 'string',
        demandOption: true,
        describe: 'metrics address of the host',
      }),
    async ({ host, json }) => {
      const { default: services } = await import('./services.js');
      printOutcome(await services(host), json);
    },
  )
  .command(
    'audit',
    'show who changed what, when, on what basis, and what came of it',
    (command) =>
      command
        .option('action', { type: 'string', describe: 'only this action, e.g. settings-change' })
        .option('last', {
          type: 'number',
          default: DEFAULT_AUDIT_LINES,
          describe: 'newest lines only',
        }),
    async ({ log, action, last, json }) => {
      const { default: audit } = await import('./audit.js');
      printOutcome(await audit({ log, action, last }), json);
    },
  )
  .command(
    'bench <file>',
    'send the load of a plan to entries and show latencies by customer',
    (command) =>
      command
        .positional('file', { type: 'string', demandOption: true })
        .option('target', {
          type: 'string',
          array: true,
          demandOption: true,
          describe: 'addresses of entries; loopback alone',
        })
        .option('plot', { type: 'string', describe: 'write a plot to this SVG file' }),
    async ({ file, target, plot, json }) => {
      const { default: bench } = await import('./bench.js');
      printOutcome(await bench({ file, targets: target, plot }), json);
    },
  )
  .command(
    'key',
    "make a caller's key and its digest",
    (command) => command,
    async ({ json }) => {
      const { default: createKey } = await import('./createKey.js');
      printOutcome(createKey(), json);
    },
  )
  .example('$0 validate examples/papadakis.yaml', 'check before publishing')
  .example('$0 publish examples/papadakis.yaml --operator eleni', 'publish and wait')
  .example('$0 audit --action settings-change --last 5', 'the last five changes')
  .completion('completion', 'print a script for shell completion')
  .demandCommand(1, 'name a command')
  .strict()
  .fail((message, error, parser) => {
    process.stderr.write(`${message ?? String(error)}\n\n`);
    parser.showHelp('error');
    process.exit(EXIT_MISUSED);
  })
  .parseAsync();

/**
 * The fault soak: runs the router in several processes, as the platform does, against stand-ins for the
 * platform, callers and runners, and injects random faults. Writes JSON lines to standard output. The
 * exit code is 1 if a guarantee was violated, and 2 on errors.
 *
 *     node build/soak.cjs --seed 1 --minutes 2 [--vms 5] [--faults vm-kill,store-silent] [--report soak.html]
 */

import { rmSync, writeFileSync } from 'node:fs';
import { monitorEventLoopDelay } from 'node:perf_hooks';

import { cac } from 'cac';

import { renderReport } from './report';
import { Soak } from './soak';
import { Timeline } from './timeline';

const cli = cac('soak');

interface Flags {
  readonly seed: number;
  readonly minutes: number;
  readonly vms: number;
  readonly runners: number;
  readonly rate: number;
  readonly faults?: string;
  readonly program: string;
  readonly report?: string;
  readonly keep?: boolean;
}

const print = (line: unknown): void => {
  process.stdout.write(`${JSON.stringify(line)}\n`);
};

async function run(flags: Flags): Promise<void> {
  const { seed, minutes, vms, runners, rate, faults, program, report } = flags;
  const timeline = new Timeline(print);
  const soak = new Soak(
    {
      seed,
      seconds: minutes * 60,
      vms,
      runners,
      ratePerS: rate,
      faults: faults?.split(','),
      program,
    },
    timeline,
  );
  process.once('SIGTERM', () => process.exit(1));
  const delays = monitorEventLoopDelay();
  delays.enable();
  await soak.run();
  const { breaches, totals } = timeline;
  const title = `Soak, seed ${seed}, ${minutes} min, ${vms} VMs, ${runners * 2} decode and plain runners, and prefill runners`;
  if (report !== undefined) writeFileSync(report, renderReport(title, timeline));
  const isKept = breaches.length > 0 || flags.keep;
  if (!isKept) rmSync(soak.folder, { recursive: true, force: true });
  const logs = isKept ? { logs: soak.folder } : {};
  print({
    seed,
    ...totals,
    ...soak.summary,
    // Of the soak's own process, in which callers, runners and links live.
    maxDelayMs: Math.round(delays.max / 1e6),
    breaches: breaches.length,
    ...logs,
  });
  process.exitCode = breaches.length > 0 ? 1 : 0;
}

cli
  .command('', 'Run the soak')
  .option('--seed <number>', 'Seed of all random choices', { default: 1 })
  .option('--minutes <number>', 'Duration of the run', { default: 2 })
  .option('--vms <number>', 'Number of VMs, one process each', { default: 5 })
  .option('--runners <number>', 'Number of decode runners, and of plain runners', { default: 4 })
  .option('--rate <number>', 'Requests per second of all callers together', { default: 60 })
  .option('--faults <kinds>', 'Kinds of faults to draw from, separated by commas')
  .option('--program <file>', 'Program that the VMs run', { default: 'build/goldcrestdock.cjs' })
  .option('--report <file>', 'Write an HTML page with plots to this file')
  .option('--keep', 'Keep the logs of the VMs even if no guarantee was violated')
  .action((flags: Flags) => run(flags));
cli.help();

try {
  cli.parse(process.argv, { run: false });
  Promise.resolve(cli.runMatchedCommand())
    .then(() => process.exit())
    .catch((error: Error) => {
      console.error(error.message);
      process.exit(2);
    });
} catch (error) {
  console.error((error as Error).message);
  process.exit(2);
}

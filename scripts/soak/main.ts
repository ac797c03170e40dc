/**
 * The fault soak: the program that the platform runs, as processes of their own, against
 * stand-ins of all around it, with random faults. JSON lines on standard output.
 *
 *     node build/soak.cjs --seed 1 --minutes 2 [--vms 5] [--faults vm-kill,store-silent] [--report soak.html]
 */

import { rmSync, writeFileSync } from 'node:fs';

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
  readonly report?: string;
  readonly keep?: boolean;
}

const print = (line: unknown): void => {
  process.stdout.write(`${JSON.stringify(line)}\n`);
};

async function run(flags: Flags): Promise<void> {
  const { seed, minutes, vms, runners, rate, faults, report } = flags;
  const timeline = new Timeline(print);
  const soak = new Soak(
    { seed, seconds: minutes * 60, vms, runners, ratePerS: rate, faults: faults?.split(',') },
    timeline,
  );
  process.once('SIGTERM', () => process.exit(1));
  await soak.run();
  const { breaches, totals } = timeline;
  const title = `Soak, seed ${seed}, ${minutes} min, ${vms} VMs, ${runners * 2} runners and more`;
  if (report !== undefined) writeFileSync(report, renderReport(title, timeline));
  const isKept = breaches.length > 0 || flags.keep;
  if (!isKept) rmSync(soak.folder, { recursive: true, force: true });
  const logs = isKept ? { logs: soak.folder } : {};
  print({
    seed,
    ...totals,
    faults: soak.faultCounts,
    used: soak.peakUsage,
    breaches: breaches.length,
    ...logs,
  });
  process.exitCode = breaches.length > 0 ? 1 : 0;
}

cli
  .command('', 'Run the soak')
  .option('--seed <number>', 'Seed of all that is drawn', { default: 1 })
  .option('--minutes <number>', 'Time to run', { default: 2 })
  .option('--vms <number>', 'VMs, a process each', { default: 5 })
  .option('--runners <number>', 'Runners that decode, and as many plain ones', { default: 4 })
  .option('--rate <number>', 'Requests a second of all callers', { default: 60 })
  .option('--faults <kinds>', 'Kinds of faults to draw from, separated by commas')
  .option('--report <file>', 'Write a page with plots')
  .option('--keep', 'Keep the logs of the VMs also where nothing is broken')
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

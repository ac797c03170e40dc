/** `goldcrestdock ctl`: the operators' client. */

import { writeFileSync } from 'node:fs';

import type { CAC } from 'cac';
import { match } from 'ts-pattern';
import { z } from 'zod';

import type { CodeName } from '../core/codes';
import { codes } from '../core/codes';
import { Failure } from '../core/failure';
import { parseJsonc } from '../core/settings/parse';
import { readText } from '../node/config';
import { call } from '../utils/http';
import type { BurnReport } from '../types/burn';
import { SNAPSHOT_PATH } from '../types/snapshot';
import { burnHtml, burnTable } from './report';
import { lineDiff } from './diff';

interface CtlOptions {
  readonly server: string;
  readonly token?: string;
  readonly revision?: string | number;
  readonly wait?: boolean;
  readonly json?: boolean;
  readonly html?: string;
}

const DEFAULT_SERVER = '127.0.0.1:8081';
/** Time limit of a request, in milliseconds: waiting for settings to be in force takes longest. */
const CALL_LIMIT_MS = 15_000;

const errorSchema = z.object({ error: z.object({ code: z.number(), message: z.string() }) });
const readSchema = z.object({ path: z.string(), revision: z.number(), text: z.string() });
const writtenSchema = z.object({
  path: z.string(),
  revision: z.number(),
  inForce: z.boolean().optional(),
  missing: z.array(z.string()).optional(),
});

function print(text: string): void {
  process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
}

function codeNamed(number: number): CodeName {
  const found = Object.entries(codes).find(([, code]) => code.number === number);
  return (found?.[0] ?? 'internal') as CodeName;
}

/** Asks a gateway's operators' port. */
async function ask(
  options: CtlOptions,
  method: string,
  path: string,
  body?: string,
  headers: Record<string, string> = {},
): Promise<unknown> {
  const token = options.token ?? process.env.GOLDCRESTDOCK_TOKEN;
  if (token === undefined) {
    throw new Failure('usage', 'found no token, expected --token or GOLDCRESTDOCK_TOKEN');
  }
  const answer = await call({
    method,
    url: `http://${options.server}${path}`,
    headers: { authorization: `Bearer ${token}`, ...headers },
    timeoutMs: CALL_LIMIT_MS,
    ...(body === undefined ? {} : { body }),
  }).catch((error: Error) => {
    throw new Failure('usage', `${options.server} does not answer: ${error.message}`);
  });
  const value: unknown = JSON.parse(answer.body);
  if (answer.status === 200) return value;
  const { error } = errorSchema.parse(value);
  throw new Failure(codeNamed(error.code), error.message);
}

function settingsPath(path: string): string {
  return `/v1/settings/${path.split('/').map(encodeURIComponent).join('/')}`;
}

async function readSettings(
  path: string,
  options: CtlOptions,
): Promise<z.infer<typeof readSchema>> {
  return readSchema.parse(await ask(options, 'GET', settingsPath(path)));
}

async function writeSettings(path: string, text: string, options: CtlOptions): Promise<void> {
  const { revision: given, wait } = options;
  const revision = given ?? (await currentRevision(path, options));
  const url = `${settingsPath(path)}${wait ? '?wait=1' : ''}`;
  const written = writtenSchema.parse(
    await ask(options, 'PUT', url, text, { 'if-match': String(revision) }),
  );
  print(`${written.path} is at revision ${written.revision}`);
  if (written.missing && written.missing.length > 0) {
    throw new Failure(
      'settingsUnconfirmed',
      `accepted, but not in force on ${written.missing.join(', ')}`,
    );
  }
  if (written.inForce) print('in force everywhere');
}

async function currentRevision(path: string, options: CtlOptions): Promise<number> {
  try {
    return (await readSettings(path, options)).revision;
  } catch (error) {
    if (error instanceof Failure && error.codeName === 'settingsNotFound') return 0;
    throw error;
  }
}

/** Sets one value at a path, given as JSON on the command line. */
async function editSettings(
  path: string,
  value: string | undefined,
  options: CtlOptions,
): Promise<void> {
  if (value === undefined) {
    throw new Failure('usage', 'found no value, expected: ctl settings edit PATH JSON');
  }
  parseJsonc(value, 'the value');
  await writeSettings(path, value, options);
}

async function diffSettings(
  path: string,
  file: string | undefined,
  options: CtlOptions,
): Promise<void> {
  if (file === undefined) {
    throw new Failure('usage', 'found no file, expected: ctl settings diff PATH FILE');
  }
  const { text, revision } = await readSettings(path, options);
  const lines = lineDiff(text, readText(file));
  print(lines.length === 0 ? `${path}: no difference from revision ${revision}` : lines.join('\n'));
}

async function settingsCommand(
  verb: string,
  path: string,
  value: string | undefined,
  options: CtlOptions,
): Promise<void> {
  await match(verb)
    .with('get', async () => {
      const read = await readSettings(path, options);
      process.stderr.write(`${read.path} at revision ${read.revision}\n`);
      print(read.text);
    })
    .with('put', async () => {
      if (value === undefined) {
        throw new Failure('usage', 'found no file, expected: ctl settings put PATH FILE');
      }
      await writeSettings(path, readText(value), options);
    })
    .with('edit', () => editSettings(path, value, options))
    .with('diff', () => diffSettings(path, value, options))
    .with('delete', async () => {
      const revision = options.revision ?? (await currentRevision(path, options));
      await ask(options, 'DELETE', settingsPath(path), undefined, { 'if-match': String(revision) });
      print(`${path} is deleted`);
    })
    .otherwise(() => {
      throw new Failure('usage', `found '${verb}', expected get, put, edit, diff or delete`);
    });
}

async function statusCommand(options: CtlOptions): Promise<void> {
  print(JSON.stringify(await ask(options, 'GET', '/v1/status'), null, 2));
}

/** Prints what one node of the platform goes by; its metrics address needs no token. */
async function nodeCommand(server: string | undefined): Promise<void> {
  if (server === undefined) {
    throw new Failure('usage', 'found no address, expected: ctl node METRICS-ADDRESS');
  }
  const url = `http://${server}${SNAPSHOT_PATH}`;
  const { body } = await call({ method: 'GET', url, timeoutMs: CALL_LIMIT_MS }).catch(
    (error: Error) => {
      throw new Failure('usage', `${server} does not answer: ${error.message}`);
    },
  );
  print(JSON.stringify(JSON.parse(body), null, 2));
}

async function burnCommand(options: CtlOptions): Promise<void> {
  const report = (await ask(options, 'GET', '/v1/burn')) as BurnReport;
  if (options.html !== undefined) {
    writeFileSync(options.html, burnHtml(report));
    print(`wrote ${options.html}`);
  } else {
    print(options.json ? JSON.stringify(report, null, 2) : burnTable(report));
  }
}

/** Registers `ctl` and its options. */
export function registerCtl(cli: CAC): void {
  const common = (command: ReturnType<CAC['command']>): ReturnType<CAC['command']> =>
    command
      .option('--server <address>', "Operators' address of any gateway", {
        default: DEFAULT_SERVER,
      })
      .option('--token <token>', 'Bearer token; default: GOLDCRESTDOCK_TOKEN');
  common(
    cli.command(
      'ctl <topic> [verb] [path] [value]',
      'Operate: settings get|put|edit|diff|delete PATH [FILE or JSON], status, node METRICS-ADDRESS, report burn',
    ),
  )
    .option(
      '--revision <number>',
      'Write only if the path still is at this revision; default: the one read just now',
    )
    .option('--wait', 'Wait until the settings are in force on every live VM')
    .option('--json', 'Print the report as JSON')
    .option('--html <file>', 'Write the report as one web page')
    .example('goldcrestdock ctl settings get teams/dosel')
    .example('goldcrestdock ctl settings put teams/dosel dosel.jsonc --wait')
    .example('goldcrestdock ctl settings edit teams/dosel/services/summaries/firstTokenMs 1500')
    .example('goldcrestdock ctl status')
    .example('goldcrestdock ctl node 10.1.0.38:9464')
    .example('goldcrestdock ctl report burn --html burn.html')
    .action(
      (
        topic: string,
        verb: string | undefined,
        path: string | undefined,
        value: string | undefined,
        options: CtlOptions,
      ) =>
        match(topic)
          .with('settings', () => {
            if (verb === undefined || path === undefined) {
              throw new Failure('usage', 'expected: ctl settings get|put|edit|diff|delete PATH');
            }
            return settingsCommand(verb, path, value, options);
          })
          .with('status', () => statusCommand(options))
          .with('node', () => nodeCommand(verb))
          .with('report', () => {
            if (verb !== 'burn') {
              throw new Failure('usage', `found '${verb ?? ''}', expected: ctl report burn`);
            }
            return burnCommand(options);
          })
          .otherwise(() => {
            throw new Failure(
              'usage',
              `found '${topic}', expected settings, status, node or report`,
            );
          }),
    );
}

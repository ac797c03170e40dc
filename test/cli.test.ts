import { execFile } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

interface Ran {
  readonly exit: number;
  readonly out: string;
  readonly err: string;
}

const folder = mkdtempSync(join(tmpdir(), 'goldcrestdock-cli-'));

function run(...args: string[]): Promise<Ran> {
  return new Promise((resolve) => {
    execFile(process.execPath, ['build/goldcrestdock.cjs', ...args], (error, out, err) => {
      const hidden = (text: string): string => text.replaceAll(folder, 'FOLDER');
      resolve({ exit: Number(error?.code ?? 0), out: hidden(out), err: hidden(err) });
    });
  });
}

function file(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

describe('the command line', () => {
  test('reports each usage error in one line with a code and exits with 2', async () => {
    const runs = await Promise.all([
      run(),
      run('frobnicate'),
      run('gateway'),
      run('gateway', '--colour', 'x'),
      run('gateway', 'missing.jsonc'),
      run('check', file('truncated.jsonc', '{ "role": "gateway", ')),
      run('check', file('type.jsonc', '{ "role": "gateway", "vm": 7 }')),
      run('scheduler', 'examples/dosel/gateway.jsonc'),
      run('check', file('team.jsonc', '{ "services": { "x": 1 } }'), '--as', 'teams/x'),
      run('ctl', 'settings', 'get', 'consortium'),
      run('ctl', 'settings', 'burn', 'x', '--token', 't'),
      run('ctl', 'report', '--token', 't'),
      run('ctl', 'node'),
      run('ctl', 'node', '127.0.0.1:1'),
    ]);
    expect(runs.map(({ exit, out, err }) => `${exit} ${out}${err}`.trim())).toMatchInlineSnapshot(`
     [
       "2 goldcrestdock: [101] found '', expected a command; see goldcrestdock --help",
       "2 goldcrestdock: [101] found 'frobnicate', expected a command; see goldcrestdock --help",
       "2 goldcrestdock: [101] missing required args for command \`gateway <file>\`",
       "2 goldcrestdock: [101] Unknown option \`--colour\`",
       "2 goldcrestdock: [102] missing.jsonc: found ENOENT, expected a readable file",
       "2 goldcrestdock: [103] FOLDER/truncated.jsonc: found PropertyNameExpected at line 1, column 22, expected JSON with comments",
       "2 goldcrestdock: [104] FOLDER/type.jsonc: at vm: Invalid input: expected string, received number",
       "2 goldcrestdock: [104] examples/dosel/gateway.jsonc: at role: found gateway, expected scheduler",
       "2 goldcrestdock: [104] teams/x: at services.x: Invalid input: expected object, received number",
       "2 goldcrestdock: [101] found no token, expected --token or GOLDCRESTDOCK_TOKEN",
       "2 goldcrestdock: [101] found 'burn', expected get, put, edit, diff or delete",
       "2 goldcrestdock: [101] found '', expected: ctl report burn",
       "2 goldcrestdock: [101] found no address, expected: ctl node METRICS-ADDRESS",
       "2 goldcrestdock: [101] 127.0.0.1:1 does not answer: connect ECONNREFUSED 127.0.0.1:1",
     ]
    `);
  });

  test('checks files', async () => {
    const runs = await Promise.all([
      run('check', 'examples/dosel/scheduler.jsonc'),
      run('check', 'examples/bagmati/clerks.jsonc', '--as', 'teams/clerks'),
    ]);
    expect(runs.map(({ exit, out }) => `${exit} ${out}`)).toMatchInlineSnapshot(`
     [
       "0 examples/dosel/scheduler.jsonc: settings of scheduler q1 are well-formed
     ",
       "0 examples/bagmati/clerks.jsonc: settings of teams/clerks are well-formed
     ",
     ]
    `);
  });

  test('prints help and version', async () => {
    const [help, version] = await Promise.all([run('--help'), run('--version')]);
    expect(help.out).toContain('scheduler <file>');
    expect(version.out).toMatch(/^goldcrestdock\/\d+\.\d+\.\d+ \(/);
  });
});

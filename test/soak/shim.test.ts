import { execFileSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

/** Makes calls to an address that is redirected to a server; prints the statuses and the sockets that the agent keeps. */
const program = `
const http = require('node:http');
const server = http.createServer((req, res) => res.end('x'));
server.listen(0, '127.0.0.1', async () => {
  const { port } = server.address();
  const { writeFileSync } = require('node:fs');
  const routes = { '127.0.0.9:7': '127.0.0.1:' + port };
  const settings = { stepMs: 0, routes, lost: [], block: { everyMs: 250, forMs: 0 } };
  writeFileSync(process.env.GOLDCRESTDOCK_SOAK, JSON.stringify(settings));
  process.kill(process.pid, 'SIGUSR2');
  await new Promise((done) => setTimeout(done, 100));
  const statuses = [];
  for (let i = 0; i < 3; i += 1) {
    statuses.push(await new Promise((done) => {
      const options = { host: '127.0.0.9', port: 7, headers: { connection: 'close' } };
      http.get(options, (res) => res.resume().on('close', () => done(res.statusCode)));
    }));
  }
  await new Promise((done) => setTimeout(done, 100));
  const kept = Object.values(http.globalAgent.sockets).flat().length;
  console.log(JSON.stringify({ statuses, kept }));
  process.exit();
});`;

describe('the shim of a VM', () => {
  // Guards against VMs of the soak that keep each response of the store for ever, until they lack memory.
  it('redirects connections, which the agents of HTTP still forget', () => {
    const folder = mkdtempSync(join(tmpdir(), 'shim-'));
    const file = join(folder, 'settings.json');
    const settings = { stepMs: 0, routes: {}, lost: [], block: { everyMs: 250, forMs: 0 } };
    writeFileSync(file, JSON.stringify(settings));
    const args = ['-r', resolve('scripts/soak/shim.cjs'), '-e', program];
    const output = execFileSync(process.execPath, args, { env: { GOLDCRESTDOCK_SOAK: file } });
    rmSync(folder, { recursive: true });
    expect(JSON.parse(output.toString())).toEqual({ statuses: [200, 200, 200], kept: 0 });
  });
});

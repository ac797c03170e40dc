// Runs the tests. Those named in KNOWN-RED.txt may fail; they are printed, and so is one that passes again.
import { existsSync, readFileSync } from 'node:fs';

import { runCLI } from 'jest';

/** Lines of the file: `full name of the test: cause: issue`. */
function knownRed(file) {
  if (!existsSync(file)) return [];
  return readFileSync(file, 'utf8')
    .split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith('#'));
}

const print = (line) => process.stdout.write(`${line}\n`);

const known = knownRed('KNOWN-RED.txt');
const isKnown = (name) => known.some((line) => line.startsWith(`${name}:`));

const { results } = await runCLI({ ci: true, _: process.argv.slice(2), $0: 'test' }, [
  process.cwd(),
]);
const tests = results.testResults.flatMap(({ testResults }) => testResults);
const failed = tests.filter(({ status }) => status === 'failed');
const fresh = failed.filter(({ fullName }) => !isKnown(fullName));
const passed = tests.filter(({ status, fullName }) => status === 'passed' && isKnown(fullName));
const broken = results.numRuntimeErrorTestSuites > 0 || results.wasInterrupted;

if (known.length > 0) print(`known red, passed over:\n${known.join('\n')}`);
passed.forEach(({ fullName }) => print(`known red, but passes now: ${fullName}`));
fresh.forEach(({ fullName }) => print(`failed: ${fullName}`));
const green = tests.filter(({ status }) => status === 'passed');
print(`${green.length} passed, ${failed.length} failed`);
process.exit(fresh.length > 0 || broken || tests.length === 0 ? 1 : 0);

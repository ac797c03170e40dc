export default {
  testEnvironment: 'node',
  testMatch: ['<rootDir>/test/**/*.test.ts'],
  transform: {
    '^.+\\.ts$': ['@swc/jest', { jsc: { parser: { syntax: 'typescript' }, target: 'es2022' } }],
  },
  // Test files run in a VM context, in which each use of a global is looked up by an interceptor.
  // These globals, which simulations use in their innermost loops, are parameters of each module instead.
  sandboxInjectedGlobals: ['Array', 'Infinity', 'JSON', 'Map', 'Math', 'Number', 'Object', 'Set'],
  maxWorkers: 4,
};

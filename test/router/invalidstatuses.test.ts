import { Partition } from '../fakes/partition';
import { RouterCluster } from '../fakes/routers';

const STATUSES = ['000', '0', '00', '099', '600', '999'];
const ROUTES = ['plain', 'once', 'model', 'long'];

describe('a runner that answers with a status that is none', () => {
  const partition = new Partition();
  const routers = new RouterCluster({
    vms: 2,
    runners: 2,
    prefillRunners: 1,
    partition,
    retries: { ratio: 1, extra: 10_000, windowMs: 10_000 },
  });

  beforeAll(async () => {
    await routers.start();
    for (const role of ['plain', 'decode'] as const) {
      for (const runner of routers.runnersOf(role)) {
        // The path of a request is `/ROUTE/STATUS`.
        runner.answerOn = (socket, req) => {
          const [, , status = ''] = req.url?.split('/') ?? [];
          if (!STATUSES.includes(status)) return false;
          const signed = `Request-Id: ${req.headers['request-id']}\r\nServer-Signature: s`;
          socket.end(`HTTP/1.1 ${status} x\r\n${signed}\r\nContent-Length: 4\r\n\r\nbody`);
          return true;
        };
      }
    }
  }, 30_000);
  afterAll(() => routers.stop(), 30_000);

  // Guards against a status that means nothing and reaches a caller as an answer.
  test.each([
    ['directly', 0],
    ['through another VM', 1],
  ])(
    'does not reach a caller with it: %s',
    async (_, way) => {
      if (way === 1) partition.cut(['vm1'], 'live');
      const paths = ROUTES.flatMap((route) => STATUSES.map((status) => `/${route}/${status}`));
      const answers = await Promise.all(
        paths.map((path) => {
          // Prompts without a common part: one under which several runners fail is held back.
          const prompt = { 'prompt-prefix': `${Buffer.from(path).toString('hex')}:100` };
          return routers.sendRequest(0, path, path, prompt);
        }),
      );
      expect(answers.map(({ status }) => status)).toEqual(paths.map(() => 502));
    },
    30_000,
  );
});

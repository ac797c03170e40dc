/** Connector to runners for tests. */

import { once } from 'node:events';
import type { Socket } from 'node:net';

import type { RunnerConnector, RunnerTarget } from '../../src/node/router/types';
import { TcpDialer } from '../../src/utils/dialer';

async function connectTo({ address }: RunnerTarget): Promise<Socket> {
  const socket = new TcpDialer().dial(address);
  await once(socket, 'connect');
  return socket;
}

/** Connects directly, once. */
export const directConnector: RunnerConnector = {
  connect: async (target) => ({ socket: await connectTo(target), via: undefined }),
  connectDirectly: connectTo,
};

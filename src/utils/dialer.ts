/** Opening of TCP connections. */

import type { Socket } from 'node:net';
import { connect } from 'node:net';

/** Opens connections from this VM to runners. */
export interface Dialer {
  /** Begins to connect to `HOST:PORT`; the socket emits `connect` or `error`. */
  dial(address: string): Socket;
}

/** Connects over TCP. */
export class TcpDialer implements Dialer {
  dial(address: string): Socket {
    const [host = '', port = '0'] = address.split(':');
    return connect({ host, port: Number(port), noDelay: true });
  }
}

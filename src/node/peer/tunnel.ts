/**
 * Tunnels between VMs: a VM asks another one with the method CONNECT of HTTP to connect to a
 * runner and pass on all bytes in both directions. The VM that asks speaks with the runner itself.
 */

import type { IncomingMessage } from 'node:http';
import { request } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

import { z } from 'zod';

import { Failure } from '../../core/failure';
import type { ForwardFailure } from '../../core/paths/forwarders';
import { PROTOCOL_VERSION } from './messages';

const name = z.string().max(300);

/** What a tunnel is for. */
const tunnelSchema = z.object({
  version: z.literal(PROTOCOL_VERSION),
  /** Name of the VM that asks. */
  vm: name,
  /** Id of the runner's instance. Default: any instance at the address. */
  runner: name.optional(),
  /** Id of the request that it is for. Default: it carries no request of a caller. */
  request: name.optional(),
  /** Whether the connection may be given up when it stalls, since the request may run again. */
  mayAbandon: z.boolean(),
  /** Id by which the VM that asks may ask later how the tunnel ended. Default: it does not ask. */
  id: name.optional(),
});

/** A request of another VM for a tunnel. */
export type TunnelRequest = Readonly<Omit<z.infer<typeof tunnelSchema>, 'version'>> & {
  /** `HOST:PORT` of the runner. */
  readonly address: string;
};

/** Header with the fields of a request for a tunnel, as JSON in percent-encoding. */
const FIELDS_HEADER = 'goldcrestdock-tunnel';
/** Header of a rejection that tells whether it concerns the VM or its path to the runner. */
const FAILURE_HEADER = 'goldcrestdock-failure';
const KEY_SCHEME = 'Bearer ';
/** Time in which a VM has to open a tunnel, in milliseconds: its own connect timeout, and the same again if it is busy. */
const TUNNEL_TIMEOUT_MS = 700;
const HTTP_OK = 200;

/** An open tunnel. */
export interface OpenTunnel {
  readonly socket: Socket;
  /** Bytes that the socket read before those of the runner. */
  readonly headBytes: number;
}

/** Rejection of a tunnel. */
export class TunnelFailure extends Error {
  readonly failure: ForwardFailure;

  constructor(failure: ForwardFailure, detail: string) {
    super(detail);
    this.name = 'TunnelFailure';
    this.failure = failure;
  }
}

/**
 * Opens a tunnel through another VM. Rejects with `TunnelFailure`; nothing was sent to the runner
 * then.
 * @param via `HOST:PORT` of the other VM
 */
export function openTunnel(
  via: string,
  key: string,
  { address, ...fields }: TunnelRequest,
  signal: AbortSignal,
): Promise<OpenTunnel> {
  const [host = '', port = ''] = via.split(':');
  const text = encodeURIComponent(JSON.stringify({ version: PROTOCOL_VERSION, ...fields }));
  return new Promise((resolve, reject) => {
    const req = request({
      host,
      port,
      method: 'CONNECT',
      path: address,
      headers: { 'proxy-authorization': KEY_SCHEME + key, [FIELDS_HEADER]: text },
      agent: false,
      signal,
    });
    const timer = setTimeout(() => req.destroy(new Error('no answer in time')), TUNNEL_TIMEOUT_MS);
    req.on('close', () => clearTimeout(timer));
    req.on('error', (error) => reject(new TunnelFailure('slow', `${via}: ${error.message}`)));
    req.on('connect', (message: IncomingMessage, socket: Socket, first: Buffer) => {
      clearTimeout(timer);
      if (message.statusCode === HTTP_OK) {
        socket.setNoDelay(true);
        resolve({ socket, headBytes: socket.bytesRead - first.length });
        return;
      }
      socket.destroy();
      const failure = message.headers[FAILURE_HEADER] === 'runner' ? 'runner' : 'vm';
      reject(new TunnelFailure(failure, `${via}: ${message.statusMessage ?? ''}`));
    });
    req.end();
  });
}

/** The key that a request for a tunnel presents; empty if none. */
export function keyOfTunnel({ headers }: IncomingMessage): string {
  const { 'proxy-authorization': credential = '' } = headers;
  return credential.startsWith(KEY_SCHEME) ? credential.slice(KEY_SCHEME.length) : '';
}

/** Decodes a request for a tunnel; throws `peerRejected` if it does not fit the protocol. */
export function decodeTunnel({ url = '', headers }: IncomingMessage): TunnelRequest {
  const text = headers[FIELDS_HEADER];
  try {
    const parsed = tunnelSchema.parse(JSON.parse(decodeURIComponent(String(text))));
    return { ...parsed, address: url };
  } catch {
    throw new Failure(
      'peerRejected',
      `found a request for a tunnel that does not fit the protocol`,
    );
  }
}

/** Accepts a request for a tunnel: all bytes after this are the runner's. */
export function acceptTunnel(socket: Duplex): void {
  socket.write(`HTTP/1.1 ${HTTP_OK} Connection established\r\n\r\n`);
}

/** Rejects a request for a tunnel. */
export function rejectTunnel(socket: Duplex, failure: ForwardFailure, detail: string): void {
  socket.end(
    `HTTP/1.1 503 ${detail}\r\n${FAILURE_HEADER}: ${failure}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
  );
}

/** Small JSON server and client on Node's http, shared by the stand-ins. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer, request } from 'node:http';

/** Handles one request; only the path and query of `url` are meaningful. */
export type Handler = (req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void> | void;

/** Reads a whole request or response body as text. */
export async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

/** Reads a body as a JSON object; an empty body counts as `{}`. */
export async function readJson(req: IncomingMessage): Promise<Record<string, unknown>> {
  const text = await readBody(req);
  return (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
}

/** Sends a JSON response. */
export function sendJson(res: ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(value));
}

/** Starts a server, by default on a free loopback port. An error in the handler gives status 500, or resets the connection if headers were sent. */
export async function listen(
  handler: Handler,
  port = 0,
  host = '127.0.0.1',
): Promise<{ server: Server; port: number }> {
  const server = createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://localhost');
    Promise.resolve(handler(req, res, url)).catch((error: Error) => {
      if (!res.headersSent) sendJson(res, 500, { error: error.message });
      else res.destroy();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(port, host, resolve);
  });
  const address = server.address();
  return { server, port: typeof address === 'object' && address ? address.port : port };
}

/** Closes a server together with its open connections. */
export function closeServer(server: Server): Promise<void> {
  server.closeAllConnections();
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}

/** Sends one request on its own connection; a response body that is not JSON is returned as text. */
export function call(
  method: string,
  url: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<{
  status: number;
  body: unknown;
  headers: Record<string, string | string[] | undefined>;
}> {
  return new Promise((resolve, reject) => {
    const req = request(url, { method, headers, agent: false }, (res) => {
      readBody(res)
        .then((text) => {
          let parsed: unknown = text;
          try {
            parsed = JSON.parse(text);
          } catch {
            // The body is not JSON and is returned as text.
          }
          resolve({ status: res.statusCode ?? 0, body: parsed, headers: res.headers });
        })
        .catch(reject);
    });
    req.on('error', reject);
    const text = typeof body === 'string' ? body : JSON.stringify(body);
    req.end(body === undefined ? undefined : text);
  });
}

/** Reads the heads of the runners' responses: whose answers they are, and how their ends are marked. */

import type { IncomingMessage } from 'node:http';

import { NO_NOTICE } from '../core/routing/notice';
import type { Dispatch, Reply, RunnerConnection } from '../node/router/types';
import { CHUNKED, framingOf, isStatus, transferCodingOf } from '../utils/http';
import { forwardableHeaders } from './ingress';
import { loadOf } from './load';
import { header } from './names';
import { noticeOf } from './notice';
import { rateNoticeOf } from './ratelimit';

/** A header name (RFC 9110, 5.6.2). */
const TOKEN = /^[\w!#$%&'*+.^`|~-]+$/;
const EVENT_STREAM = 'text/event-stream';
const noHeaders: ReadonlySet<string> = new Set();
const HTTP_MISDIRECTED_REQUEST = 421;

/** Whether a response is to this request, not a late one to another. */
export function isTo({ request }: Dispatch, { headers }: IncomingMessage): boolean {
  const echoed = headers[header.requestId];
  return echoed === undefined || echoed === request.id;
}

/** Whether the body is the runner's as it arrives, without an encoding of its content or transfer but chunks. */
function isPlain(message: IncomingMessage): boolean {
  const isEncoded = message.headers['content-encoding'] !== undefined;
  return !isEncoded && ['', CHUNKED].includes(transferCodingOf(message));
}

/** A response counts as the runner's if it can be passed on with its signature, and carries no other request id and no encoding added on the way. */
export function toReply(
  dispatch: Dispatch,
  message: IncomingMessage,
  { via, tunnel }: RunnerConnection,
): Reply {
  const { headers } = message;
  const status = message.statusCode ?? 0;
  const isToRequest = isTo(dispatch, message);
  const misdirected = isToRequest && status === HTTP_MISDIRECTED_REQUEST;
  const forwarded = forwardableHeaders(message.rawHeaders, headers.connection, noHeaders);
  const names = forwarded.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
  const isSigned = names.includes(header.signature);
  // Node reads heads that it does not write, and statuses that are none.
  const isWritable = isStatus(status) && names.every((name) => TOKEN.test(name));
  const genuine = isSigned && isWritable && isToRequest && isPlain(message);
  return {
    status,
    framing: framingOf(message, dispatch.request.method),
    isEvents: headers['content-type']?.startsWith(EVENT_STREAM) ?? false,
    headers: forwarded,
    genuine,
    notRun: misdirected || (isToRequest && headers[header.notRun] !== undefined),
    misdirected,
    rateNotice: rateNoticeOf(message),
    load: isToRequest ? loadOf(message) : undefined,
    notice: isToRequest ? noticeOf(message) : NO_NOTICE,
    via,
    tunnel,
    body: message,
  };
}

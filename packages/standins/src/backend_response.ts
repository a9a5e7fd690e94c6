/** Sends responses of a backend server, with injected faults. @module */
import { SERVER_HEADER } from "@jaytiller/model";
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import type { CountedFault } from "./backend_options.js";
import { makeReport, makeReportChunks } from "./report_body.js";

/** Content of a response and the faults that apply to it. */
export interface ResponseContent {
  readonly requestId: string;
  /** Length of the report; if undefined, the response is `fields` as JSON. */
  readonly bytes: number | undefined;
  readonly fields: object;
  /** Returns whether a fault applies, and decrements its count. */
  readonly consumeFault: (fault: CountedFault) => boolean;
}

/**
 * Sends the response, or only its first half if a fault truncates or stalls it.
 * Resolves when the data is written or the client has disconnected.
 */
export async function sendResponse(
  res: ServerResponse,
  content: ResponseContent,
): Promise<void> {
  if (res.destroyed) return;
  const { consumeFault } = content;
  if (consumeFault("wrongRequestId")) {
    res.setHeader(SERVER_HEADER.requestId, randomUUID());
  }
  const text = Buffer.from(JSON.stringify(content.fields));
  const length = content.bytes ?? text.length;
  const type = content.bytes === undefined ? "application/json" : "text/plain";
  const truncated = consumeFault("truncate");
  const stalled = consumeFault("stall");
  const end = truncated || stalled ? Math.floor(length / 2) : length;
  if (consumeFault("duplicate")) sendDuplicate(res, { content, text, type });
  res.writeHead(200, { "content-type": type, "content-length": length });
  if (content.bytes === undefined) {
    res.write(text.subarray(0, end));
  } else {
    const report = makeReportChunks(content.requestId, end);
    // The client has disconnected, so the error cannot be reported to it.
    await pipeline(report, res, { end: false }).catch(() => {});
  }
  if (truncated) res.socket?.destroySoon();
  else if (!stalled) res.end();
}

/** Sends the response a second time once the first one is finished. */
function sendDuplicate(
  res: ServerResponse,
  answer: { content: ResponseContent; text: Buffer; type: string },
): void {
  const { socket } = res;
  const { content, text, type } = answer;
  const range = { from: 0, length: content.bytes ?? 0 };
  const body = content.bytes === undefined
    ? text
    : makeReport(content.requestId, range);
  const head = [
    "HTTP/1.1 200 OK",
    `content-type: ${type}`,
    `content-length: ${body.length}`,
    `${SERVER_HEADER.requestId}: ${content.requestId}`,
  ];
  res.once("finish", () => {
    if (!socket?.writable) return;
    socket.write(`${head.join("\r\n")}\r\n\r\n`);
    socket.write(body);
  });
}
